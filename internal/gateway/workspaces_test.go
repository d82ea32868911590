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

// Guards against a call that is served without a valid key, and against a final refusal by a VM that cannot know whether a
// newer configuration has the key.
func TestAuthenticate(t *testing.T) {
	long := strings.Repeat("k", routes.MaxKeyBytes+1)
	for name, tc := range map[string]struct {
		keys   []string
		route  *routes.Route
		want   string // workspace
		reason string
	}{
		"valid":                     {[]string{"ka"}, closedRoute, "a", ""},
		"none":                      {nil, closedRoute, "", reasonNoKey},
		"unknown":                   {[]string{"kx"}, closedRoute, "", reasonUnknownKey},
		"empty":                     {[]string{""}, closedRoute, "", reasonEmptyKey},
		"two":                       {[]string{"ka", "kb"}, closedRoute, "", reasonSeveralKeys},
		"the same twice":            {[]string{"ka", "ka"}, closedRoute, "", reasonSeveralKeys},
		"oversized":                 {[]string{long}, closedRoute, "", reasonOversizedKey},
		"public route, none":        {nil, publicRoute, "", ""},
		"public route, valid":       {[]string{"ka"}, publicRoute, "", ""},
		"public route, unknown key": {[]string{"kx"}, publicRoute, "", ""},
	} {
		for _, confirmed := range []bool{true, false} {
			g, log := keyedGateway(Options{})
			kind := errs.Unauthenticated
			if !confirmed {
				g.confirmedAt.Store(int64(boottime.Now() - confirmationTTL))
				kind = errs.Unavailable
			}
			caller, err := g.Authenticate(tc.route, func() []string { return tc.keys })
			if (err != nil) != (tc.reason != "") || refusalReason(err) != tc.reason || err != nil && !errs.Is(err, kind) {
				t.Errorf("%s, confirmed %t: %v", name, confirmed, err)
			}
			if err == nil && (caller.Workspace != tc.want || !caller.Managed) {
				t.Errorf("%s: got %+v", name, caller)
			}
			if err != nil {
				g.RecordRefusal("r1", err)
				if !strings.Contains(log.String(), `"event":"key.refused"`) || !strings.Contains(log.String(), `"reason":"`+tc.reason) {
					t.Errorf("%s: the log has %s", name, log)
				}
			}
		}
	}
}

// Guards against a VM that uses keys of a configuration which no leader has confirmed since its start and which may be
// older than the one before, and against one that uses them too long, or not long enough, without contact.
func TestKeysNeedConfirmation(t *testing.T) {
	for name, tc := range map[string]struct {
		strict    bool
		confirmed time.Duration // before now; 0 for never
		accepted  bool
	}{
		"never":                     {false, 0, false},
		"just now":                  {false, time.Millisecond, true},
		"long ago":                  {false, time.Hour, true},
		"strict, just now":          {true, time.Millisecond, true},
		"strict, within the bound":  {true, 4 * time.Second, true},
		"strict, beyond the bound":  {true, 5 * time.Second, false},
		"strict, never since start": {true, 0, false},
	} {
		g, _ := keyedGateway(Options{RevokeStrictly: tc.strict})
		g.confirmedAt.Store(0)
		if tc.confirmed > 0 {
			g.confirmedAt.Store(int64(boottime.Now() - tc.confirmed))
		}
		_, err := g.Authenticate(closedRoute, func() []string { return []string{"ka"} })
		if (err == nil) != tc.accepted || err != nil && !errs.Is(err, errs.Unavailable) {
			t.Errorf("%s: %v", name, err)
		}
		if _, err := g.Authenticate(publicRoute, nil); err != nil {
			t.Errorf("%s: public route: %v", name, err)
		}
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
		if err := caller.Check(); refusalReason(err) != tc.reason || (err != nil) != (tc.reason != "") {
			t.Errorf("%s: %v", name, err)
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
