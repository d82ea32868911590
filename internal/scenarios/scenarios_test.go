package scenarios

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	// TestMain builds the binaries with a command that the test cache does not track. This import invalidates
	// cached test results whenever the product's code changes.
	_ "filbertledge/internal/cli"
)

// binDir is the directory of the filbertledge and standin binaries.
var binDir string

func TestMain(m *testing.M) {
	code, err := buildAndRun(m)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

func buildAndRun(m *testing.M) (int, error) {
	var err error
	if binDir, err = os.MkdirTemp("", "filbertledge-scenarios-"); err != nil {
		return 0, fmt.Errorf("create the directory of the binaries: %w", err)
	}
	defer os.RemoveAll(binDir)
	out, err := exec.Command("go", "build", "-o", binDir+"/", "filbertledge/cmd/filbertledge", "filbertledge/cmd/standin").CombinedOutput()
	if err != nil {
		return 0, fmt.Errorf("build the binaries: %w: %s", err, out)
	}
	return m.Run(), nil
}

// Each script guards against the incident that its file is named after. The scripts run sequentially, because each
// starts a whole deployment.
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar"), func(t *testing.T) {
			testscript.Run(t, testscript.Params{Files: []string{file}, Cmds: commands(), Setup: setUpScenario})
		})
	}
}
