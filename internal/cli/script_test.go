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

// Runs the scripts in testdata/script against the command line as a process.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/script"})
}
