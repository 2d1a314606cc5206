package main

import (
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/aymanbagabas/go-udiff"
	"github.com/spf13/cobra"

	"elderyard/internal/document"
	"elderyard/revisions"
)

// addOverlayFlag adds the flag --overlay, whose values readContent merges into the parent's overlays.
func addOverlayFlag(cmd *cobra.Command, overlays *[]string) {
	cmd.Flags().StringArrayVar(overlays, "overlay", nil, "an instance's overlay as NAME=FILE; NAME= takes it away, and others stay as they are")
}

// readContent reads a revision's file and checks it with the gateway's own parsers. Each overlay, NAME=FILE, replaces
// the parent's of that name, and NAME= removes it; the parent's other overlays stay. Every error is a usage error.
func readContent(path string, overlays []string, parent revisions.Content) (revisions.Content, error) {
	content := revisions.Content{Overlays: map[string]string{}, RestartGeneration: parent.RestartGeneration}
	for name, text := range parent.Overlays {
		content.Overlays[name] = text
	}
	var err error
	if content.File, err = readBounded(path); err != nil {
		return content, usageError(err)
	}
	for _, overlay := range overlays {
		name, file, found := strings.Cut(overlay, "=")
		if !found || name == "" {
			return content, usageError(fmt.Errorf("--overlay %q is not NAME=FILE", overlay))
		}
		if file == "" {
			delete(content.Overlays, name)
			continue
		}
		if content.Overlays[name], err = readBounded(file); err != nil {
			return content, usageError(err)
		}
	}
	if len(content.Overlays) == 0 {
		content.Overlays = nil
	}
	return content, usageError(document.Check(path, content))
}

// readBounded reads a file of at most revisions.MaxFileBytes, the limit of agents.
func readBounded(path string) (string, error) {
	file, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer file.Close()
	if info, err := file.Stat(); err == nil && info.IsDir() {
		return "", fmt.Errorf("%s: is a folder", path)
	}
	text, err := io.ReadAll(io.LimitReader(file, revisions.MaxFileBytes+1))
	if err != nil {
		return "", fmt.Errorf("%s: %w", path, err)
	}
	if len(text) > revisions.MaxFileBytes {
		return "", fmt.Errorf("%s: more than %d bytes", path, revisions.MaxFileBytes)
	}
	return string(text), nil
}

// diffContents returns a unified diff of two contents under the given names, "" if they are equal.
func diffContents(fromName, toName string, from, to revisions.Content) string {
	text := udiff.Unified(fromName, toName, from.File, to.File)
	overlays := maps.Clone(from.Overlays)
	if overlays == nil {
		overlays = map[string]string{}
	}
	maps.Copy(overlays, to.Overlays)
	for _, name := range slices.Sorted(maps.Keys(overlays)) {
		text += udiff.Unified(fromName+" overlay "+name, toName+" overlay "+name, from.Overlays[name], to.Overlays[name])
	}
	if from.RestartGeneration != to.RestartGeneration {
		text += fmt.Sprintf("every instance starts anew (turn %d to %d)\n", from.RestartGeneration, to.RestartGeneration)
	}
	return text
}

// printDiff prints a unified diff, with added and removed lines in colour.
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
