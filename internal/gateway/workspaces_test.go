package gateway

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"filbertledge/internal/boottime"
	"filbertledge/internal/coordinator"
	"filbertledge/internal/errs"
	"filbertledge/internal/events"
	"filbertledge/internal/forward"
	"filbertledge/internal/routes"
)

var (
	closedRoute = &routes.Route{Name: "closed", Priority: 7}
	publicRoute = &routes.Route{Name: "public", Public: true}
)

// keyedGateway returns a gateway with a confirmed configuration in which key ka belongs to workspace a and kb to b.
func keyedGateway(o Options) (*Gateway, *bytes.Buffer) {
	log := &bytes.Buffer{}
	o.Name, o.AnnounceInterval, o.Events, o.KeyHeader, o.WorkspaceHeader = "vm", time.Second, events.NewLogRecorder("vm", log), "Key", "Workspace"
	g := New(o)
	g.configuration.Store(keyedConfiguration(5, map[string]string{"ka": "a", "kb": "b"}))
	g.confirmedAt.Store(int64(boottime.Now()))
	return g, log
}

func keyedConfiguration(version uint64, workspaceOf map[string]string) *routes.Configuration {
	c := &routes.Configuration{Version: version, Schema: routes.CurrentSchema, Document: []byte{byte(version)}}
	var list []routes.DefinedWorkspace
	for key, name := range workspaceOf {
		list = append(list, routes.DefinedWorkspace{Name: name, Priority: 1, Keys: []string{key}})
	}
	c.DefineWorkspaces(list)
	return c
}

// Guards against a call that is served without a valid key, with one of a configuration that no leader has confirmed since
// the start, which may be older than the one before, or with one beyond the strict bound; and against a final refusal by a
// VM that cannot know whether a newer configuration has the key.
func TestAuthenticate(t *testing.T) {
	long := strings.Repeat("k", routes.MaxKeyBytes+1)
	const now, unconfirmed, never = time.Millisecond, confirmationTTL, time.Duration(0)
	for name, tc := range map[string]struct {
		keys      []string
		confirmed time.Duration // before now
		strict    bool
		kind      errs.Kind
		reason    string
	}{
		"valid":                  {[]string{"ka"}, now, true, "", ""},
		"none":                   {nil, now, false, errs.Unauthenticated, reasonNoKey},
		"unknown":                {[]string{"kx"}, now, false, errs.Unauthenticated, reasonUnknownKey},
		"empty":                  {[]string{""}, now, false, errs.Unauthenticated, reasonEmptyKey},
		"the same twice":         {[]string{"ka", "ka"}, now, false, errs.Unauthenticated, reasonSeveralKeys},
		"oversized":              {[]string{long}, now, false, errs.Unauthenticated, reasonOversizedKey},
		"none, unconfirmed":      {nil, unconfirmed, false, errs.Unavailable, reasonNoKey},
		"unknown, unconfirmed":   {[]string{"kx"}, unconfirmed, false, errs.Unavailable, reasonUnknownKey},
		"valid, unconfirmed":     {[]string{"ka"}, time.Hour, false, "", ""},
		"valid, never confirmed": {[]string{"ka"}, never, false, errs.Unavailable, reasonNotConfirmed},
		"strict, within bound":   {[]string{"ka"}, 4 * time.Second, true, "", ""},
		"strict, beyond bound":   {[]string{"ka"}, 5 * time.Second, true, errs.Unavailable, reasonNotConfirmed},
	} {
		g, log := keyedGateway(Options{RevokeStrictly: tc.strict})
		if g.confirmedAt.Store(0); tc.confirmed != never {
			g.confirmedAt.Store(int64(boottime.Now() - tc.confirmed))
		}
		if caller, err := g.Authenticate(publicRoute, nil); err != nil || !caller.Managed || caller.Workspace != "" {
			t.Errorf("%s: public route: %+v, %v", name, caller, err)
		}
		caller, err := g.Authenticate(closedRoute, func() []string { return tc.keys })
		if (err == nil) != (tc.kind == "") || err != nil && !errs.Is(err, tc.kind) || refusalReason(err) != tc.reason || err == nil && caller.Workspace != "a" {
			t.Errorf("%s: %+v, %v", name, caller, err)
		}
		if err != nil {
			if g.RecordRefusal("r1", err); !strings.Contains(log.String(), `"event":"key.refused"`) || !strings.Contains(log.String(), `"reason":"`+tc.reason) {
				t.Errorf("%s: the log has %s", name, log)
			}
		}
	}
}

// Guards against a final refusal by the configuration before the one that was just confirmed and has the key.
func TestRefusalByReplacedConfigurationIsNotFinal(t *testing.T) {
	g, _ := keyedGateway(Options{})
	replaced := g.Configuration()
	g.installIfNewer(keyedConfiguration(6, map[string]string{"kc": "a"}))
	if _, err := g.identify(replaced, []string{"kc"}); !errs.Is(err, errs.Unavailable) {
		t.Errorf("got %v", err)
	}
}

// Guards against another attempt of a request whose key is gone or has moved, or which was never asked for a key.
func TestCheckFollowsNewestConfiguration(t *testing.T) {
	plain := &routes.Configuration{Version: 5, Schema: routes.CurrentSchema}
	for name, tc := range map[string]struct {
		before, after *routes.Configuration
		route         *routes.Route
		reason        string
	}{
		"unchanged":        {nil, keyedConfiguration(6, map[string]string{"ka": "a"}), closedRoute, ""},
		"removed":          {nil, keyedConfiguration(6, map[string]string{"kb": "b"}), closedRoute, reasonUnknownKey},
		"moved":            {nil, keyedConfiguration(6, map[string]string{"ka": "b"}), closedRoute, reasonOtherOwner},
		"list emptied":     {nil, keyedConfiguration(6, nil), closedRoute, reasonUnknownKey},
		"list removed":     {nil, &routes.Configuration{Version: 6, Schema: routes.CurrentSchema}, closedRoute, ""},
		"public route":     {nil, keyedConfiguration(6, nil), publicRoute, ""},
		"list added":       {plain, keyedConfiguration(6, map[string]string{"ka": "a"}), closedRoute, reasonNotChecked},
		"still without":    {plain, &routes.Configuration{Version: 6}, closedRoute, ""},
		"older is ignored": {nil, keyedConfiguration(4, nil), closedRoute, ""},
	} {
		g, _ := keyedGateway(Options{})
		if tc.before != nil {
			g.configuration.Store(tc.before)
		}
		caller, err := g.Authenticate(tc.route, func() []string { return []string{"ka"} })
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		g.installIfNewer(tc.after)
		err = caller.Check()
		if refusalReason(err) != tc.reason || (err != nil) != (tc.reason != "") {
			t.Errorf("%s: %v", name, err)
		}
		// Callers do not repeat a call that is answered 401, so a key that is still valid must not be refused so.
		if tc.reason == reasonOtherOwner && !errs.Is(err, errs.Unavailable) {
			t.Errorf("%s: not to be repeated: %v", name, err)
		}
	}
}

// Guards against a VM that serves by a configuration which does not tell which requests need a key, keeps it although the
// next leader has the whole document, or asks a leader of an earlier build for it without end.
func TestLowerSchemaIsNotUsed(t *testing.T) {
	g, _ := keyedGateway(Options{MinSchema: routes.CurrentSchema})
	next := coordinator.FollowRequest{ConfigurationVersion: 5}
	partial := &routes.Configuration{Version: 6, Routes: []routes.Route{{Name: "r", Host: "h", Prefix: "/"}}}
	g.applyReply(coordinator.FollowReply{Configuration: partial}, &next)
	if g.Ready() || g.Configuration() != nil || g.handover.accepts() || next.ConfigurationVersion != 6 {
		t.Errorf("ready %t, takes requests %t, asks for versions above %d", g.Ready(), g.handover.accepts(), next.ConfigurationVersion)
	}
	if _, err := g.MatchRoute("h", "/x"); !errs.Is(err, errs.Unavailable) {
		t.Errorf("a request: %v", err)
	}
	if _, err := g.AuthenticateBatchCall(nil); !errs.Is(err, errs.Unavailable) {
		t.Errorf("a call about a batch: %v", err)
	}
	if v := g.versionForLeader(next.ConfigurationVersion); v != 0 {
		t.Errorf("a new leader is told version %d", v)
	}
	next.ConfigurationVersion = 0
	g.applyReply(coordinator.FollowReply{Configuration: keyedConfiguration(6, nil)}, &next)
	if !g.Ready() || !g.Configuration().RequiresKeys || g.versionForLeader(6) != 6 {
		t.Error("the whole configuration of the same version is not used")
	}
	if g.installIfNewer(partial) || g.installIfNewer(keyedConfiguration(5, nil)) {
		t.Error("an older configuration replaced a newer one")
	}
	old, _ := keyedGateway(Options{})
	old.installIfNewer(partial)
	if !old.Ready() {
		t.Error("a deployment without the setting does not use the configuration of an earlier build")
	}
}

// Guards against a VM that sends the request of another one with an invalid key, with the caller's own headers, or without
// its workspace; the other VM may have an older configuration or be of an earlier build.
func TestTakeOverIdentifiesCaller(t *testing.T) {
	hash := func(key string) []byte { h := routes.HashKey(key); return h[:] }
	forged := []handoverHeader{{"workspace", "b"}, {"KEY", "ka"}, {"X", "1"}}
	for name, tc := range map[string]struct {
		q       handoverRequest
		route   *routes.Route
		headers string
		reason  string
	}{
		"valid":          {handoverRequest{Workspace: "a", KeyHash: hash("ka"), Headers: []handoverHeader{{"X", "1"}, {"Workspace", "a"}}}, closedRoute, "X:1 Workspace:a ", ""},
		"removed key":    {handoverRequest{Workspace: "a", KeyHash: hash("kx")}, closedRoute, "", reasonUnknownKey},
		"moved key":      {handoverRequest{Workspace: "b", KeyHash: hash("ka")}, closedRoute, "", reasonOtherOwner},
		"earlier build":  {handoverRequest{Headers: forged}, closedRoute, "", reasonNotChecked},
		"public route":   {handoverRequest{Headers: forged}, publicRoute, "X:1 ", ""},
		"now public":     {handoverRequest{Workspace: "a", KeyHash: hash("ka"), Headers: forged}, publicRoute, "X:1 ", ""},
		"malformed hash": {handoverRequest{Workspace: "a", KeyHash: []byte("ka")}, closedRoute, "", reasonNotChecked},
	} {
		g, _ := keyedGateway(Options{})
		_, headers, err := g.takeOver(tc.route, &tc.q)
		got := ""
		for _, h := range headers {
			got += h.Name + ":" + h.Value + " "
		}
		if got != tc.headers || refusalReason(err) != tc.reason {
			t.Errorf("%s: headers %q, %v", name, got, err)
		}
	}
}

// Guards against a call to the leader whose caller's key was removed while the VM had no leader, and against requests that
// lose the priority of their workspace.
func TestWaitingBatchCallIsCheckedAgain(t *testing.T) {
	g, _ := keyedGateway(Options{})
	caller, err := g.Authenticate(closedRoute, func() []string { return []string{"ka"} })
	if err != nil {
		t.Fatal(err)
	}
	r := &forward.Request{}
	if caller.Identify(r, closedRoute); r.Workspace != "a" || r.Priority != 1 || r.Authorize == nil {
		t.Errorf("the request is %+v", r)
	}
	time.AfterFunc(20*time.Millisecond, func() {
		g.installIfNewer(keyedConfiguration(6, nil))
		g.setLeader("127.0.0.1:1", nil)
	})
	if err := g.EndBatch(context.Background(), caller, "b1"); !errs.Is(err, errs.Unauthenticated) {
		t.Errorf("the call after the removal: %v", err)
	}
}
