package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"

	"github.com/pelletier/go-toml/v2"
	"github.com/spf13/cobra"

	"elderyard/fleet"
	"elderyard/internal/document"
	"elderyard/revisions"
)

// importCommand makes a revision's file of the configurations that gateways have
// been run with by hand.
func importCommand() *cobra.Command {
	var dir string
	cmd := &cobra.Command{
		Use: "import CONFIG.json...", Short: "Make a revision's file of gateways' configurations, with an overlay for what differs",
		Long: `Write DIR/site.toml from the first configuration, and DIR/NAME.toml for every
gateway whose configuration differs from it. Nothing that is there is replaced.` + fleetHelp,
		Example: "  elderctl import --out site /etc/elderyard/g0.json /etc/elderyard/g1.json",
		Args:    func(cmd *cobra.Command, args []string) error { return usageError(cobra.MinimumNArgs(1)(cmd, args)) },
		RunE: func(cmd *cobra.Command, args []string) error {
			files, apply, err := importConfigs(dir, args)
			if err != nil {
				return usageError(err)
			}
			if err := os.MkdirAll(dir, 0o700); err != nil {
				return operationError(err)
			}
			for _, f := range files {
				if _, err := os.Stat(f.path); !errors.Is(err, os.ErrNotExist) {
					return usageError(fmt.Errorf("%s: is there already", f.path))
				}
			}
			for _, f := range files {
				if err := os.WriteFile(f.path, f.text, 0o600); err != nil {
					return operationError(err)
				}
				fmt.Fprintf(cmd.OutOrStdout(), "wrote %s\n", f.path)
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

// importConfigs reads all and checks what it makes of them before anything is
// written.
func importConfigs(dir string, paths []string) (files []importedFile, apply string, err error) {
	var base map[string]any
	content := revisions.Content{Overlays: map[string]string{}}
	apply = "elderctl apply " + filepath.Join(dir, "site.toml")
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, "", err
		}
		var config map[string]any
		if err := json.Unmarshal(text, &config); err != nil {
			return nil, "", fmt.Errorf("%s: %w", path, err)
		}
		name, _ := config["name"].(string)
		if err := fleet.CheckName("instance", name); err != nil {
			return nil, "", fmt.Errorf("%s: %w", path, err)
		}
		if _, twice := content.Overlays[name]; twice {
			return nil, "", fmt.Errorf("%s: %s stands twice", path, name)
		}
		// What is the instance's own, and what is news of a moment.
		for _, key := range []string{"name", "listen", "known"} {
			delete(config, key)
		}
		table := config
		file := filepath.Join(dir, name+".toml")
		if base == nil {
			base, file = config, filepath.Join(dir, "site.toml")
		} else if table, err = difference(base, config); err != nil {
			return nil, "", fmt.Errorf("%s: %w", path, err)
		}
		out, err := toml.Marshal(map[string]any{"gateway": table})
		if err != nil {
			return nil, "", fmt.Errorf("%s: %w", path, err)
		}
		content.Overlays[name] = ""
		switch {
		case len(files) == 0:
			content.File = string(out)
		case len(table) > 0:
			content.Overlays[name] = string(out)
			apply += " --overlay " + name + "=" + file
		default:
			continue
		}
		files = append(files, importedFile{file, out})
	}
	return files, apply, document.Check(filepath.Join(dir, "site.toml"), content)
}

// difference is what lies over a tree to make it another.
func difference(base, other map[string]any) (map[string]any, error) {
	over := map[string]any{}
	for key, value := range other {
		a, was := base[key].(map[string]any)
		b, is := value.(map[string]any)
		switch {
		case was && is:
			inner, err := difference(a, b)
			if err != nil {
				return nil, fmt.Errorf("%s.%w", key, err)
			}
			if len(inner) > 0 {
				over[key] = inner
			}
		case !reflect.DeepEqual(base[key], value):
			over[key] = value
		}
	}
	for key := range base {
		if _, found := other[key]; !found {
			return nil, fmt.Errorf("%s: the first configuration has it and this one does not; an overlay can't take a key away", key)
		}
	}
	return over, nil
}
