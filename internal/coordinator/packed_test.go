package coordinator

import (
	"bytes"
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"testing"

	"filbertledge/internal/fleet"
	"filbertledge/internal/link"
	"filbertledge/internal/routes"
)

// The users' largest deployment: VMs that follow the leader, routes of a configuration that has grown, and the memory
// that a VM with the state may use.
const (
	largeFollowers   = 270
	largeRoutes      = 1500
	largeMemoryLimit = 294 << 20
)

func largeConfiguration(version uint64) *routes.Configuration {
	c := &routes.Configuration{Version: version, Services: []routes.Service{{Name: testService, Models: []string{testModel}}}, Document: bytes.Repeat([]byte("d"), 600<<10)}
	for i := range largeRoutes {
		c.Routes = append(c.Routes, routes.Route{
			Name: fmt.Sprintf("r-%d", i), Host: testHost, Prefix: fmt.Sprintf("/p%dx/", i*7919), Kind: routes.Idempotent, MaxAttempts: 2,
			ServiceWeights: []routes.ServiceWeight{{Service: testService, Weight: 1}},
		})
	}
	return c
}

// TestPackConfiguration guards against routes that change on their way to the other VMs.
func TestPackConfiguration(t *testing.T) {
	c := largeConfiguration(7)
	packed, err := PackConfiguration(c)
	if err != nil {
		t.Fatal(err)
	}
	got, err := UnpackConfiguration(packed)
	if err != nil {
		t.Fatal(err)
	}
	equal := slices.EqualFunc(got.Routes, c.Routes, func(a, b routes.Route) bool { return fmt.Sprint(a) == fmt.Sprint(b) })
	if got.Version != 7 || len(got.Document) != 0 || !equal || len(got.Services) != 1 || got.Services[0].Models[0] != testModel {
		t.Errorf("version %d with %d routes, %d services and a document of %d bytes after unpacking", got.Version, len(got.Routes), len(got.Services), len(got.Document))
	}
	if _, err := UnpackConfiguration(packed[:len(packed)/2]); err == nil {
		t.Error("half of a packed configuration was unpacked")
	}
}

// TestLargeConfigurationReachesAllVMs guards against a leader that exceeds its memory when all VMs of a large deployment
// ask for a large configuration at the same time, as after its commit or after a restart of all VMs.
func TestLargeConfigurationReachesAllVMs(t *testing.T) {
	c := startCluster(t, 3)
	c.callLeader("the commit of the configuration", func(ctx context.Context, n *Node) error { return n.Configure(ctx, largeConfiguration(7)) })
	address := c.addresses[c.leader()]
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	client := link.NewClient()
	defer client.Close()
	var all sync.WaitGroup
	for i := range largeFollowers {
		all.Go(func() {
			var packed []byte
			var err error
			if i%2 == 0 {
				var r FollowReply
				r, err = link.Call[FollowRequest, FollowReply](ctx, client, address, methodFollow, FollowRequest{VM: fmt.Sprint(i), AcceptsPacked: true})
				packed = r.Packed
			} else {
				var r PeekReply
				r, err = link.Call[PeekRequest, PeekReply](ctx, client, address, methodPeek, PeekRequest{AcceptsPacked: true})
				packed = r.Packed
			}
			if err != nil || len(packed) == 0 {
				t.Errorf("reply of %d bytes, %v", len(packed), err)
			}
		})
	}
	all.Wait()
	runtime.ReadMemStats(&after)
	// All that was allocated, by the leader and by its callers in this process, must fit even if nothing was freed.
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated > largeMemoryLimit/2 {
		t.Errorf("replies to %d VMs allocate %d MB, a VM with the state may use %d MB", largeFollowers, allocated>>20, largeMemoryLimit>>20)
	}
}

// TestFollowSendsServers guards against a VM that keeps an old list of servers, or believes that it has a list that it
// was not sent, and against a list for each change when many servers change at once.
func TestFollowSendsServers(t *testing.T) {
	c := startCluster(t, 3)
	c.configure(1)
	const servers = 40
	address := c.addresses[c.leader()]
	client := link.NewClient()
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	q := FollowRequest{VM: "entry"}
	follow := func() FollowReply {
		r, err := Follow(ctx, client, address, q)
		if err != nil {
			t.Fatal(err)
		}
		if r.ServersSent != (r.ServersRevision != q.ServersRevision || r.Term != q.Term) {
			t.Fatalf("revision %d after %d, list sent %t", r.ServersRevision, q.ServersRevision, r.ServersSent)
		}
		q.Term, q.ServersRevision = r.Term, r.ServersRevision
		if r.Configuration != nil {
			q.ConfigurationVersion = r.Configuration.Version
		}
		return r
	}
	if r := follow(); r.Configuration == nil || r.Configuration.Version != 1 || !r.ServersSent {
		t.Fatalf("the first reply has configuration %v, list sent %t", r.Configuration, r.ServersSent)
	}
	c.announceServers(servers, 4)
	lists, known := 0, 0
	for known < servers {
		if r := follow(); r.ServersSent {
			lists, known = lists+1, len(r.Servers)
		}
		if ctx.Err() != nil {
			t.Fatalf("%d of %d servers are known", known, servers)
		}
	}
	if lists > servers/2 {
		t.Errorf("%d lists were sent for %d servers that started at once", lists, servers)
	}
	if r := follow(); r.ServersSent || r.Held < FollowPollTimeout/2 {
		t.Errorf("without a change a list was sent after %s", r.Held)
	}
}

// Guards against a VM that follows a leader of an older build and cannot read any list once the name of one server in it is
// no text.
func TestUnpackServersReadsTextThatIsNotUTF8(t *testing.T) {
	packed, err := packServers([]fleet.Server{{ID: "i-\xff"}, {ID: "i-1"}})
	if err != nil {
		t.Fatal(err)
	}
	if servers, err := unpackServers(packed); err != nil || len(servers) != 2 || servers[1].ID != "i-1" {
		t.Fatalf("got %+v, %v", servers, err)
	}
}
