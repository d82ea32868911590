package coordinator

import (
	"bytes"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"filbertledge/internal/balance"
	"filbertledge/internal/boottime"
	"filbertledge/internal/fleet"
)

// Guards against follow calls that differ from those of earlier builds although nobody asked for shared loads, and against
// sums without the leader's own items or with the VM's own requests.
func TestFollowCallsShareLoad(t *testing.T) {
	for _, enabled := range []bool{false, true} {
		s, _ := newStandaloneSession(t, newFakeEngines())
		s.load.collector = balance.NewCollector(enabled)
		now := boottime.Now()
		for _, id := range []string{"s0", "s1"} {
			v := fleet.Server{ID: id, Service: testService, Address: id + ":80", Incarnation: 1, Slots: 8}
			s.node.registry.Announce(v, now)
			s.engineFor(&v)
		}
		s.engines["s0"].running = 2
		for vm, load := range map[string]int{"vm-1": 3, "vm-2": 4} {
			s.recordLoad(FollowRequest{VM: vm, Forwards: true, Load: &balance.Report{Entries: balance.Encode([]balance.Entry{{Key: balance.Key("s0"), Load: load}})}}, now)
		}
		before, after := FollowReply{Term: 1}, FollowReply{Term: 1}
		s.addLoad(&after, FollowRequest{VM: "vm-1", Forwards: true}, now)
		if !enabled {
			a, errA := cbor.Marshal(before)
			b, errB := cbor.Marshal(after)
			if errA != nil || errB != nil || !bytes.Equal(a, b) {
				t.Errorf("the reply has further bytes: %x, %x, %v, %v", a, b, errA, errB)
			}
			continue
		}
		entries, err := balance.Decode(after.Load.Entries, 10)
		if err != nil || len(entries) != 1 || entries[0].Load != 2+4 || after.Load.Services != 1 {
			t.Errorf("sums %+v, %v, %v", after.Load, entries, err)
		}
		after = FollowReply{}
		s.addLoad(&after, FollowRequest{VM: "vm-1"}, now)
		if after.Load != nil {
			t.Error("a VM that forwards nothing gets the loads")
		}
		s.recordLoad(FollowRequest{VM: "vm-1", Forwards: true}, now+3*time.Second)
		after = FollowReply{}
		s.addLoad(&after, FollowRequest{VM: "vm-1", Forwards: true}, now+3*time.Second)
		if entries, err = balance.Decode(after.Load.Entries, 10); err != nil || len(entries) != 1 || entries[0].Load != 2 {
			t.Errorf("3 s after the last call of a killed VM: %v, %v", entries, err)
		}
	}
}
