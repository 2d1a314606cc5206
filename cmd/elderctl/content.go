package main

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/aymanbagabas/go-udiff"

	"elderyard/internal/document"
	"elderyard/revisions"
)

// readContent reads a file, and overlays as NAME=FILE, over those of a parent;
// NAME= takes one away.
func readContent(path string, overlays []string, parent revisions.Content) (revisions.Content, error) {
	c := revisions.Content{Overlays: map[string]string{}, RestartGeneration: parent.RestartGeneration}
	for name, text := range parent.Overlays {
		c.Overlays[name] = text
	}
	var err error
	if c.File, err = readBounded(path); err != nil {
		return c, usageError(err)
	}
	for _, o := range overlays {
		name, file, found := strings.Cut(o, "=")
		if !found || name == "" {
			return c, usageError(fmt.Errorf("--overlay %q is not NAME=FILE", o))
		}
		if file == "" {
			delete(c.Overlays, name)
			continue
		}
		if c.Overlays[name], err = readBounded(file); err != nil {
			return c, usageError(err)
		}
	}
	if len(c.Overlays) == 0 {
		c.Overlays = nil
	}
	return c, usageError(document.Check(path, c))
}

func readBounded(path string) (string, error) {
	f, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer f.Close()
	if info, err := f.Stat(); err == nil && info.IsDir() {
		return "", fmt.Errorf("%s: is a folder", path)
	}
	text, err := io.ReadAll(io.LimitReader(f, revisions.MaxFileBytes+1))
	if err != nil {
		return "", fmt.Errorf("%s: %w", path, err)
	}
	if len(text) > revisions.MaxFileBytes {
		return "", fmt.Errorf("%s: more than %d bytes", path, revisions.MaxFileBytes)
	}
	return string(text), nil
}

// diffContents is what separates two contents, as people read it.
func diffContents(from, to string, a, b revisions.Content) string {
	text := udiff.Unified(from, to, a.File, b.File)
	names := map[string]bool{}
	for n := range a.Overlays {
		names[n] = true
	}
	for n := range b.Overlays {
		names[n] = true
	}
	for _, n := range sorted(names) {
		text += udiff.Unified(from+" overlay "+n, to+" overlay "+n, a.Overlays[n], b.Overlays[n])
	}
	if a.RestartGeneration != b.RestartGeneration {
		text += fmt.Sprintf("every instance starts anew (turn %d to %d)\n", a.RestartGeneration, b.RestartGeneration)
	}
	return text
}

func sorted(set map[string]bool) (list []string) {
	for n := range set {
		list = append(list, n)
	}
	slices.Sort(list)
	return list
}

func printDiff(out io.Writer, text string) {
	if text == "" {
		fmt.Fprintln(out, "no difference")
	}
	for line := range strings.Lines(text) {
		switch {
		case strings.HasPrefix(line, "+"):
			line = paint(out, green, strings.TrimSuffix(line, "\n")) + "\n"
		case strings.HasPrefix(line, "-"):
			line = paint(out, red, strings.TrimSuffix(line, "\n")) + "\n"
		}
		fmt.Fprint(out, line)
	}
}
