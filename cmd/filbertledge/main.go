// Command filbertledge is the rollout service: one VM of the system and its
// command-line client in one binary.
package main

import (
	"os"

	"filbertledge/internal/cli"
	"filbertledge/internal/server"
	"filbertledge/platform"
)

// version is set by the linker for releases.
var version string

func main() {
	os.Exit(cli.Main(cli.Options{Version: version, Serve: server.Serve, Commands: platform.Commands()}))
}
