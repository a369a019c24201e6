package hibiscuscart_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestDesignPageListsPackages checks that the design page lists every package
// and names no package or file that does not exist.
func TestDesignPageListsPackages(t *testing.T) {
	page, err := os.ReadFile("docs/DESIGN.md")
	require.NoError(t, err)
	_, section, found := strings.Cut(string(page), "## Which package decides what\n")
	require.True(t, found)
	section, _, _ = strings.Cut(section, "\n## ")
	entries, err := os.ReadDir(".")
	require.NoError(t, err)
	for _, e := range entries {
		if !e.IsDir() || strings.HasPrefix(e.Name(), ".") {
			continue
		}
		require.True(t, strings.Contains(section, "`"+e.Name()+"`") || strings.Contains(section, "`"+e.Name()+"/"), "the design page does not mention %s", e.Name())
	}
	for row := range strings.SplitSeq(section, "\n") {
		dir := ""
		for i, name := range strings.Split(row, "`") {
			if i%2 == 0 {
				continue
			}
			switch {
			case strings.Contains(name, "/"):
				require.FileExists(t, name)
			case strings.HasSuffix(name, ".go"):
				require.FileExists(t, filepath.Join(dir, name))
			case isDir(name):
				dir = name
			}
		}
	}
}

func isDir(name string) bool {
	info, err := os.Stat(name)
	return err == nil && info.IsDir()
}
