package server

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"path/filepath"
	"testing"
	"time"

	"filbertledge/internal/api"
	"filbertledge/internal/config"
	"filbertledge/internal/operator"
	"filbertledge/internal/pki"
	"filbertledge/internal/transport"
)

const testLimit = 20 * time.Second

// startVM runs a VM with the only control replica on free ports. The channel gets the result of Serve.
func startVM(t *testing.T, ctx context.Context) (*config.Config, chan error) {
	t.Helper()
	dir := t.TempDir()
	authority, err := pki.Init(filepath.Join(dir, "keys"), "test")
	if err != nil {
		t.Fatal(err)
	}
	for _, q := range []pki.Request{
		{Name: "vm-a", Role: pki.RoleVM, IPs: []net.IP{net.IPv4(127, 0, 0, 1)}},
		{Name: "me", Role: pki.RoleOperator},
	} {
		if _, err := authority.Issue(q); err != nil {
			t.Fatal(err)
		}
	}
	paths, err := config.Write(dir, config.Deployment{Keys: "keys", Data: "data", VMs: []config.DeploymentVM{{
		Name: "vm-a", FailureDomain: "a", Replica: true,
		Listen: config.Listen{HTTP: freeAddress(t), Internal: freeAddress(t), Metrics: freeAddress(t)},
	}}})
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := config.Load(paths[0])
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- Serve(ctx, cfg) }()
	return cfg, done
}

func freeAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return netip.MustParseAddrPort(ln.Addr().String()).String()
}

func awaitReady(t *testing.T, cfg *config.Config, done <-chan error) {
	t.Helper()
	for end := time.Now().Add(testLimit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		select {
		case err := <-done:
			t.Fatalf("the VM ended: %v", err)
		default:
		}
		resp, err := http.Get("http://" + cfg.Listen.HTTP + "/readyz")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	t.Fatal("the VM is not ready")
}

func awaitEnd(t *testing.T, done <-chan error) {
	t.Helper()
	select {
	case err := <-done:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(testLimit):
		t.Fatal("the VM did not end")
	}
}

// Guards against a process that goes on for ever after an operator stopped it without waiting for requests.
func TestShutdownEndsProcess(t *testing.T) {
	cfg, done := startVM(t, t.Context())
	awaitReady(t, cfg, done)
	source, err := pki.NewTLSSource(pki.LeafFiles(filepath.Join(filepath.Dir(cfg.File), "keys"), "me"), pki.TLSSourceOptions{})
	if err != nil {
		t.Fatal(err)
	}
	tc, err := transport.NewClient(transport.ClientOptions{Identity: source})
	if err != nil {
		t.Fatal(err)
	}
	defer tc.Close()
	client, err := operator.NewClient(tc, []string{cfg.Listen.Internal})
	if err != nil {
		t.Fatal(err)
	}
	status, err := client.Status(t.Context())
	if err != nil || !status.Ready || status.VM.ID != api.VMID("vm-a") || status.Replica.Role != "leader" {
		t.Fatalf("status %+v, %v", status, err)
	}
	if err := client.Shutdown(t.Context(), cfg.Listen.Internal); err != nil {
		t.Fatal(err)
	}
	awaitEnd(t, done)
}

// Guards against a VM that does not end, or ends with an error, after a signal.
func TestSignalDrains(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cfg, done := startVM(t, ctx)
	awaitReady(t, cfg, done)
	cancel()
	awaitEnd(t, done)
}
