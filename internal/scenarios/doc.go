// Package scenarios reproduces incidents with scripts that run against real processes. Each script in testdata is
// named after the failure that it reproduces.
package scenarios
