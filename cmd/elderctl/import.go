package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"reflect"

	"github.com/pelletier/go-toml/v2"
	"github.com/spf13/cobra"

	"elderyard/fleet"
	"elderyard/internal/document"
	"elderyard/revisions"
)

// importCommand returns the command that converts the configurations of gateways that run without a fleet to a
// revision's file and overlays.
func importCommand() *cobra.Command {
	var dir string
	cmd := &cobra.Command{
		Use: "import CONFIG.json...", Short: "Make a revision's file of gateways' configurations, with an overlay for what differs",
		Long: `Write DIR/site.toml from the first configuration, and DIR/NAME.toml for every
gateway whose configuration differs from it. Nothing that is there is replaced.` + fleetHelp,
		Example: "  elderctl import --out site /etc/elderyard/g0.json /etc/elderyard/g1.json",
		Args:    checkArgs(cobra.MinimumNArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			files, apply, err := importConfigs(dir, args)
			if err != nil {
				return usageError(err)
			}
			if err := writeNewFiles(cmd.OutOrStdout(), dir, files); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "next: %s\n", apply)
			return nil
		},
	}
	cmd.Flags().StringVar(&dir, "out", "site", "folder to write to")
	return cmd
}

type importedFile struct {
	path string
	text []byte
}

// writeNewFiles writes files to a directory and prints their paths. If one of them exists already, it writes none.
func writeNewFiles(out io.Writer, dir string, files []importedFile) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return operationError(err)
	}
	for _, file := range files {
		if _, err := os.Stat(file.path); !errors.Is(err, os.ErrNotExist) {
			return usageError(fmt.Errorf("%s: is there already", file.path))
		}
	}
	for _, file := range files {
		if err := os.WriteFile(file.path, file.text, 0o600); err != nil {
			return operationError(err)
		}
		fmt.Fprintf(out, "wrote %s\n", file.path)
	}
	return nil
}

// importConfigs reads the configurations and validates the resulting content. The first configuration becomes the
// revision's file. It writes nothing; apply is the command line that applies the returned files.
func importConfigs(dir string, paths []string) (files []importedFile, apply string, err error) {
	var base map[string]any
	content := revisions.Content{Overlays: map[string]string{}}
	basePath := filepath.Join(dir, "site.toml")
	apply = "elderctl apply " + basePath
	for _, path := range paths {
		name, config, err := readConfig(path)
		if err != nil {
			return nil, "", err
		}
		if _, duplicate := content.Overlays[name]; duplicate {
			return nil, "", fmt.Errorf("%s: %s stands twice", path, name)
		}
		content.Overlays[name] = ""
		isBase := base == nil
		table, target := config, basePath
		if isBase {
			base = config
		} else {
			if table, err = computeOverlay(base, config); err != nil {
				return nil, "", fmt.Errorf("%s: %w", path, err)
			}
			if len(table) == 0 {
				continue
			}
			target = filepath.Join(dir, name+".toml")
		}
		text, err := toml.Marshal(map[string]any{"gateway": table})
		if err != nil {
			return nil, "", fmt.Errorf("%s: %w", path, err)
		}
		if isBase {
			content.File = string(text)
		} else {
			content.Overlays[name] = string(text)
			apply += " --overlay " + name + "=" + target
		}
		files = append(files, importedFile{target, text})
	}
	return files, apply, document.Check(basePath, content)
}

// readConfig reads a gateway's configuration, without the keys that are specific to the instance or change at runtime.
func readConfig(path string) (name string, config map[string]any, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", nil, err
	}
	if err := json.Unmarshal(text, &config); err != nil {
		return "", nil, fmt.Errorf("%s: %w", path, err)
	}
	name, _ = config["name"].(string)
	if err := fleet.CheckName("instance", name); err != nil {
		return "", nil, fmt.Errorf("%s: %w", path, err)
	}
	for _, key := range []string{"name", "listen", "known"} {
		delete(config, key)
	}
	return name, config, nil
}

// computeOverlay returns the overlay that turns base into the other configuration. An overlay can't remove a key, so a
// key that only base has is an error.
func computeOverlay(base, other map[string]any) (map[string]any, error) {
	overlay := map[string]any{}
	for key, value := range other {
		baseTable, inBase := base[key].(map[string]any)
		table, isTable := value.(map[string]any)
		switch {
		case inBase && isTable:
			inner, err := computeOverlay(baseTable, table)
			if err != nil {
				return nil, fmt.Errorf("%s.%w", key, err)
			}
			if len(inner) > 0 {
				overlay[key] = inner
			}
		case !reflect.DeepEqual(base[key], value):
			overlay[key] = value
		}
	}
	for key := range base {
		if _, found := other[key]; !found {
			return nil, fmt.Errorf("%s: the first configuration has it and this one does not; an overlay can't take a key away", key)
		}
	}
	return overlay, nil
}
