package config

import (
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/errs"
	"filbertledge/internal/pki"
)

// testDeployment describes four VMs in four failure domains; the first three have control replicas.
func testDeployment() Deployment {
	d := Deployment{Keys: "keys", Data: "data", WeightStore: "http://127.0.0.1:6001"}
	d.Pools = []Pool{{Name: "drafter-llm", TokenSHA256: pki.HashToken("secret")}}
	ip := netip.MustParseAddr("127.0.0.1")
	for i, domain := range []string{"szeged-a", "szeged-b", "kecskemet-a", "bekes-a"} {
		d.VMs = append(d.VMs, DeploymentVM{
			Name: api.VMID(domain + "-1"), FailureDomain: api.FailureDomain(domain),
			Listen: DefaultPorts.ListenAddresses(ip, i), Replica: i < 3,
		})
	}
	return d
}

// Guards against Write creating settings that Load rejects or reads as other values, and against Write overwriting a
// file.
func TestWrittenSettingsLoadUnchanged(t *testing.T) {
	dir := t.TempDir()
	paths, err := Write(dir, testDeployment())
	if err != nil {
		t.Fatal(err)
	}
	c, err := Load(paths[0])
	if err != nil {
		t.Fatal(err)
	}
	if c.VM.DataDir != filepath.Join(dir, "data", "szeged-a-1") || c.TLS.Key != filepath.Join(dir, "keys", "szeged-a-1-key.pem") {
		t.Fatalf("paths are not relative to the settings file: %+v %+v", c.VM, c.TLS)
	}
	if c.Limits.Drain != Duration(10*time.Minute) || c.Limits.Body != 4*MiB || c.Weights.Rate != 100*MiB {
		t.Fatalf("limits %+v, weights %+v", c.Limits, c.Weights)
	}
	if r, ok := c.OwnReplica(); !ok || r.Address != "127.0.0.1:9001" || len(c.Control.Replicas) != 3 {
		t.Fatalf("replicas %+v", c.Control.Replicas)
	}
	last, err := Load(paths[3])
	if err != nil || last.VM.DataDir != "" {
		t.Fatalf("VM without a replica: %+v, %v", last, err)
	}
	if _, err := Write(dir, testDeployment()); !errs.Is(err, errs.Conflict) {
		t.Fatalf("Write overwrote settings: %v", err)
	}
}

// Guards against invalid settings being accepted, and against an error that does not name the file and the key.
func TestErrorNamesFileAndKey(t *testing.T) {
	dir := t.TempDir()
	paths, err := Write(dir, testDeployment())
	if err != nil {
		t.Fatal(err)
	}
	good, err := os.ReadFile(paths[0])
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct{ name, old, replacement, want string }{
		{"unknown key", "[log]", "[log]\nlevle = 1", "log.levle: unknown key"},
		{"unknown section", "[log]", "[lgo]\nx = 1\n[log]", "lgo: unknown key"},
		{"duration without unit", `drain = "10m"`, "drain = 10", "limits.drain: \"10\" has no unit"},
		{"size without unit", `body = "4MiB"`, `body = "4194304"`, "limits.body: \"4194304\" has no unit"},
		{"wrong unit", `rate = "100MiB"`, `rate = "100MB"`, "weights.rate: \"100MB\" is not a size"},
		{"size out of range", `header = "16KiB"`, `header = "1GiB"`, "limits.header: 1GiB is out of range"},
		{"host name", `http = "127.0.0.1:8001"`, `http = "localhost:8001"`, "listen.http: \"localhost:8001\" is not an IP address"},
		{"overlap", `metrics = "127.0.0.1:7001"`, `metrics = "0.0.0.0:8001"`, "listen.metrics: \"0.0.0.0:8001\" overlaps listen.http"},
		{"unspecified address", `internal = "127.0.0.1:9001"`, `internal = "0.0.0.0:9001"`, "listen.internal: \"0.0.0.0:9001\" is not an address that others can dial"},
		{"replica without data_dir", `data_dir = "data/szeged-a-1"`, "", "vm.data_dir: missing"},
		{"data_dir without replica", `name = "szeged-a-1"`, `name = "szeged-a-9"`, "vm.data_dir: set, but"},
		{"own address", `address = "127.0.0.1:9001"`, `address = "127.0.0.1:9009"`, "control.replicas[0].address"},
		{"own name", `name = "szeged-a-1"`, `name = "szeged-a-9"`, "control.replicas[0].name"},
		{"even number", "[log]", "[[control.replicas]]\nname = \"x\"\naddress = \"127.0.0.1:9007\"\nfailure_domain = \"x\"\n[log]", "4 replicas are an even number"},
		{"majority in one domain", `failure_domain = "szeged-b"`, `failure_domain = "szeged-a"`, "holds 2 of 3 replicas"},
		{"replica twice", `address = "127.0.0.1:9002"`, `address = "127.0.0.1:9003"`, "control.replicas[2].address"},
		{"token instead of digest", "token_sha256 = \"", "token_sha256 = \"secret", "pools[0].token_sha256: is not a SHA-256 digest"},
		{"store", "http://127.0.0.1:6001", "127.0.0.1:6001", "weights.store"},
		{"level", `level = "info"`, `level = "loud"`, "log.level"},
		{"missing key", `ca = "keys/ca.pem"`, "", "tls.ca: missing"},
		{"wrong type", `level = "info"`, `level = 3`, "level"},
		{"not valid TOML", "[vm]", "[vm", ":"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(string(good), c.old, c.replacement, 1)
			if text == string(good) {
				t.Fatalf("%q is not in the settings", c.old)
			}
			path := filepath.Join(t.TempDir(), "vm.toml")
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := Load(path)
			if !errs.Is(err, errs.ConfigInvalid) {
				t.Fatalf("got %v", err)
			}
			if message := err.Error(); !strings.Contains(message, c.want) || !strings.Contains(message, path) {
				t.Fatalf("error %q does not name the file and %q", message, c.want)
			}
		})
	}
}

// Guards against an error that contains only the first problem of a file, so that an operator needs one run for each.
func TestLoadReportsAllProblemsAtOnce(t *testing.T) {
	path := filepath.Join(t.TempDir(), "vm.toml")
	text := "[vm]\nnmae = \"a\"\n[limits]\ndrain = 5\nbody = \"4\"\n[log]\nlevel = \"loud\"\n"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := Load(path)
	for _, key := range []string{
		"vm.nmae", "vm.name", "vm.failure_domain", "limits.drain", "limits.body", "log.level",
		"listen.http", "listen.internal", "listen.metrics", "tls.ca", "control.replicas",
	} {
		if !strings.Contains(err.Error(), path+": "+key+": ") {
			t.Errorf("no problem for %s in\n%v", key, err)
		}
	}
}

// Guards against sizes and durations that are parsed as another value, and against String formatting a duration that
// ParseDuration reads differently.
func TestParseSizeAndDuration(t *testing.T) {
	for text, want := range map[string]Size{"0B": 0, "512B": 512, "16KiB": 16 << 10, "4 MiB": 4 << 20, "2GiB": 2 << 30} {
		if got, err := ParseSize(text); err != nil || got != want {
			t.Errorf("ParseSize(%q) = %d, %v", text, got, err)
		}
	}
	for _, text := range []string{"", "4", "4.5MiB", "4MB", "4mib", "-1KiB", "MiB", "9999999999GiB"} {
		if got, err := ParseSize(text); err == nil {
			t.Errorf("ParseSize(%q) = %d", text, got)
		}
	}
	for _, text := range []string{"", "4", "4.5", "4 s", "4d", "s"} {
		if got, err := ParseDuration(text); err == nil {
			t.Errorf("ParseDuration(%q) = %s", text, got)
		}
	}
	for _, d := range []time.Duration{0, time.Millisecond, 90 * time.Second, 10 * time.Minute, 2 * time.Hour, 61 * time.Minute} {
		if got, err := ParseDuration(Duration(d).String()); err != nil || got != Duration(d) {
			t.Errorf("%s is written as %q and read as %s, %v", d, Duration(d), got, err)
		}
	}
}

// Guards against a single control replica, as in a test deployment, being rejected or accepted without a warning.
func TestOneReplicaLoadsWithWarning(t *testing.T) {
	d := testDeployment()
	d.VMs = d.VMs[:1]
	paths, err := Write(t.TempDir(), d)
	if err != nil {
		t.Fatal(err)
	}
	c, err := Load(paths[0])
	if err != nil || len(c.Warnings()) != 1 {
		t.Fatalf("warnings %v, %v", c.Warnings(), err)
	}
}

// Guards against docs/SETTINGS.md lacking a key of the settings, or describing a key that does not exist.
func TestEveryKeyIsDocumented(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("..", "..", "docs", "SETTINGS.md"))
	if err != nil {
		t.Fatal(err)
	}
	sections := map[string]string{}
	for _, part := range strings.Split(string(text), "\n## ")[1:] {
		title, body, _ := strings.Cut(part, "\n")
		sections[strings.Trim(title, "[]")] = body
	}
	row := regexp.MustCompile("(?m)^\\| `([a-z0-9_]+)` \\|")
	for _, section := range []string{"vm", "listen", "tls", "control.replicas", "pools", "weights", "limits", "log"} {
		var documented []string
		for _, match := range row.FindAllStringSubmatch(sections[section], -1) {
			documented = append(documented, match[1])
		}
		known := knownKeys(reflect.TypeFor[settingsDocument](), strings.Split(section, "."))
		if !slices.Equal(documented, known) {
			t.Errorf("[%s] documents %v, the keys are %v", section, documented, known)
		}
	}
}

// Guards against VMs of one deployment with the same name, the same address or different lists of control replicas.
func TestCheckDeploymentReportsSharedNamesAndAddresses(t *testing.T) {
	dir := t.TempDir()
	paths, err := Write(dir, testDeployment())
	if err != nil {
		t.Fatal(err)
	}
	var list []*Config
	for _, path := range paths {
		c, err := Load(path)
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, c)
	}
	if problems := CheckDeployment(list); len(problems) > 0 {
		t.Fatal(problems)
	}
	list[3].VM.Name = list[0].VM.Name
	list[3].Listen.Internal = list[1].Listen.HTTP
	list[2].Control.Replicas = list[2].Control.Replicas[:1]
	text := CheckDeployment(list).Error()
	for _, want := range []string{
		paths[3] + `: vm.name: "szeged-a-1" is also the VM of ` + paths[0],
		paths[3] + ": listen.internal: 127.0.0.1:8002 is also listen.http of " + paths[1],
		paths[2] + ": control.replicas: differs from " + paths[0],
	} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is not in\n%s", want, text)
		}
	}
}
