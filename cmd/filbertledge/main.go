// Command filbertledge is the rollout service: one VM of the system and its
// command-line client in one binary.
package main

func main() {
}
