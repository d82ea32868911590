package cli

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"filbertledge": func() { os.Exit(Main(Options{Version: "test"})) },
	})
}

// Runs the scripts in testdata/script, which start the command line as a separate process.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			// The race detector sleeps 1 s at the end of each process by default.
			env.Setenv("GORACE", "atexit_sleep_ms=10")
			return nil
		},
	})
}
