package config

import (
	_ "embed"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"text/template"

	"filbertledge/internal/api"
	"filbertledge/internal/errs"
)

// Deployment describes the VMs of a deployment, for Write.
type Deployment struct {
	VMs         []DeploymentVM
	Pools       []Pool
	WeightStore string // URL; empty if there is none
	Keys        string // folder of the TLS files, absolute or relative to the settings files
	Data        string // parent folder of the VMs' data folders, absolute or relative to the settings files
}

// DeploymentVM is one VM of a deployment.
type DeploymentVM struct {
	Name          api.VMID
	FailureDomain api.FailureDomain
	Listen        Listen
	Replica       bool // the VM holds a control replica
}

// Ports holds the ports of the first VM on an IP address; see ListenAddresses.
type Ports struct {
	HTTP     uint16
	Internal uint16
	Metrics  uint16
}

// DefaultPorts are the ports that the example in docs/SETTINGS.md uses.
var DefaultPorts = Ports{HTTP: 8001, Internal: 9001, Metrics: 7001}

// ListenAddresses returns the listening addresses of the n-th VM on ip, counted from zero. Each further VM on the same
// IP address gets the next higher ports.
func (p Ports) ListenAddresses(ip netip.Addr, n int) Listen {
	address := func(port uint16) string { return netip.AddrPortFrom(ip, port+uint16(n)).String() }
	return Listen{HTTP: address(p.HTTP), Internal: address(p.Internal), Metrics: address(p.Metrics)}
}

//go:embed settings.toml.tmpl
var settingsText string

var settingsTemplate = template.Must(template.New("settings").Funcs(template.FuncMap{"quote": quoteTOML}).Parse(settingsText))

// quoteTOML formats v as a TOML basic string. For printable text, all escape sequences of a Go string are valid in
// TOML.
func quoteTOML(v any) string { return fmt.Sprintf("%q", fmt.Sprint(v)) }

// settingsData holds the values that settings.toml.tmpl reads.
type settingsData struct {
	Deployment
	VM      DeploymentVM
	DataDir string
	CA      string
	Cert    string
	Key     string
	Limits  Limits
	Rate    Size
	Level   string
}

// Write creates a commented settings file for each VM of the deployment in dir and returns their paths. It fails if a
// file already exists, and checks the new files by loading them.
func Write(dir string, d Deployment) ([]string, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, errs.Wrap(err, errs.ConfigInvalid, "choose a folder that can be written", "cannot create %s", dir)
	}
	var paths []string
	for _, vm := range d.VMs {
		path := filepath.Join(dir, string(vm.Name)+".toml")
		if err := writeSettingsFile(path, d.settings(vm)); err != nil {
			return paths, err
		}
		paths = append(paths, path)
	}
	for _, path := range paths {
		if _, err := Load(path); err != nil {
			return paths, err
		}
	}
	return paths, nil
}

func (d Deployment) settings(vm DeploymentVM) settingsData {
	data := settingsData{
		Deployment: d,
		VM:         vm,
		CA:         filepath.Join(d.Keys, "ca.pem"),
		Cert:       filepath.Join(d.Keys, string(vm.Name)+".pem"),
		Key:        filepath.Join(d.Keys, string(vm.Name)+"-key.pem"),
		Limits:     Limits{DefaultBody, DefaultHeader, DefaultCallerMemory, DefaultStoredAnswer, DefaultDrain, DefaultReadTimeout, DefaultIdleTimeout},
		Rate:       DefaultRate,
		Level:      DefaultLevel,
	}
	if vm.Replica {
		data.DataDir = filepath.Join(d.Data, string(vm.Name))
	}
	return data
}

// writeSettingsFile creates the file at path. It fails if the file exists.
func writeSettingsFile(path string, data settingsData) error {
	var text strings.Builder
	if err := settingsTemplate.Execute(&text, data); err != nil {
		return errs.Wrap(err, errs.Internal, "", "cannot write the settings of %s", data.VM.Name)
	}
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
	if os.IsExist(err) {
		return errs.New(errs.Conflict, "remove it first, or choose another folder", "%s already exists", path)
	}
	if err != nil {
		return errs.Wrap(err, errs.ConfigInvalid, "choose a folder that can be written", "cannot create the settings")
	}
	_, err = f.WriteString(text.String())
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return errs.Wrap(err, errs.StorageFailed, "check the free space", "cannot write %s", path)
}
