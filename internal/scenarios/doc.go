// Package scenarios holds scripted incidents over real processes. Each script in testdata is named after what
// failed.
package scenarios
