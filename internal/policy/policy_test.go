package policy

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a choice that ignores load, speed, failure domain or a cached prefix.
func TestScore(t *testing.T) {
	base := Candidate{Local: true, Capacity: 8, InFlight: 2}
	for name, worse := range map[string]Candidate{
		"more in flight here":   {Local: true, Capacity: 8, InFlight: 3},
		"more in flight others": {Local: true, Capacity: 8, InFlight: 2, OthersInFlight: 2},
		"fresh load report":     {Local: true, Capacity: 8, InFlight: 2, ReportedLoad: 6},
		"slower":                {Local: true, Capacity: 8, InFlight: 2, RelativeSpeed: 0.5},
		"remote":                {Capacity: 8, InFlight: 2},
		"smaller":               {Local: true, Capacity: 4, InFlight: 2},
	} {
		if Score(&worse) <= Score(&base) {
			t.Errorf("%s: score %v is not worse than %v", name, Score(&worse), Score(&base))
		}
	}
	cached := base
	cached.Cached = true
	if Score(&cached) >= Score(&base) {
		t.Error("cached prefix has no effect")
	}
	cached.InFlight = 8
	plain := cached
	plain.Cached = false
	if Score(&cached) != Score(&plain) {
		t.Error("cached prefix has an effect at full load")
	}
	old := Candidate{Local: true, Capacity: 8, ReportedLoad: 8, ReportAge: 10 * time.Second}
	if Score(&old) >= Score(&base) {
		t.Error("old load report counts as much as own requests")
	}
}

// Guards against an ineligible choice, and against missing the only eligible server of a small pool.
func TestChooseFindsEligible(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		eligible := rapid.SliceOfN(rapid.Bool(), 0, scanLimit).Draw(t, "eligible")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		any := false
		for _, e := range eligible {
			any = any || e
		}
		i := ChooseServer(len(eligible), rng, func(i int, c *Candidate) { c.Eligible, c.Capacity = eligible[i], 1 })
		if (i >= 0) != any || (i >= 0 && !eligible[i]) {
			t.Fatalf("chose %d of %v", i, eligible)
		}
	})
}

// Guards against herding: all VMs sending to the one server that a late load report shows idle.
func TestChooseSpreadsLoad(t *testing.T) {
	const servers, vms = 20, 10
	total := make([]int, servers)
	for vm := range vms {
		rng := rand.New(rand.NewPCG(uint64(vm), 0))
		own := make([]int, servers)
		for range 20 {
			i := ChooseServer(servers, rng, func(i int, c *Candidate) {
				*c = Candidate{Eligible: true, Local: true, Capacity: 8, InFlight: own[i], ReportedLoad: own[i] + 4}
				if i == 0 {
					c.ReportedLoad = own[i]
				}
			})
			own[i]++
			total[i]++
		}
	}
	if mean := vms * 20 / servers; total[0] > 4*mean {
		t.Fatalf("the idle server got %d requests, the mean is %d", total[0], mean)
	}
}

// Guards against queues in the engines deeper than capacity + 1 in sum, and against VMs without any slot.
func TestLimitDividesCapacity(t *testing.T) {
	for _, c := range []struct {
		candidate Candidate
		want      int
	}{
		{Candidate{Capacity: 8}, 9},
		{Candidate{Capacity: 8, OthersInFlight: 4, OtherVMs: 1}, 5},
		{Candidate{Capacity: 8, OthersInFlight: 9, OtherVMs: 2}, 3},
		{Candidate{Capacity: 2, OthersInFlight: 9, OtherVMs: 5}, 1},
	} {
		if got := InFlightLimit(&c.candidate); got != c.want {
			t.Errorf("limit of %+v is %d, want %d", c.candidate, got, c.want)
		}
	}
	if LongJobLimit(9) != 8 || LongJobLimit(4) != 4 {
		t.Error("reserved slots are wrong")
	}
}

func measuredPool(n int, slow ...int) []*ServerStats {
	pool := make([]*ServerStats, n)
	for i := range pool {
		pool[i] = &ServerStats{}
		for range minSamples {
			pool[i].AddMeasurement(Measurement{TimeToFirstToken: 100 * time.Millisecond, DecodeSpeed: 50})
		}
	}
	for _, i := range slow {
		for range 20 {
			pool[i].AddMeasurement(Measurement{TimeToFirstToken: time.Second, DecodeSpeed: 5})
		}
	}
	return pool
}

// Guards against ejecting more than 30% of a pool, probes more often than once a second, and servers that
// never return.
func TestEjection(t *testing.T) {
	pool := measuredPool(10, 1, 3, 5, 7)
	verdicts := EjectOutliers(pool, 0)
	ejected := 0
	for i, s := range pool {
		if s.Ejected {
			ejected++
			if i%2 == 0 {
				t.Errorf("server %d is not slow but ejected", i)
			}
		}
	}
	if ejected != 3 || len(verdicts) != 3 {
		t.Fatalf("%d ejected with %d verdicts, want 3", ejected, len(verdicts))
	}
	s := pool[verdicts[0].Index]
	if s.Admits(500*time.Millisecond) || !s.Admits(ProbeInterval) {
		t.Fatal("probe is not due after exactly one second")
	}
	s.RecordDispatch(ProbeInterval)
	if s.Admits(ProbeInterval + 900*time.Millisecond) {
		t.Fatal("second probe within a second")
	}
	for range 8 {
		s.AddMeasurement(Measurement{TimeToFirstToken: 100 * time.Millisecond, DecodeSpeed: 50})
	}
	EjectOutliers(pool, 5*time.Second)
	if s.Ejected {
		t.Fatal("recovered server stays ejected")
	}
}

// Guards against ejection in pools too small to spare a server, and of servers that are only a little slower.
func TestNoEjection(t *testing.T) {
	for name, pool := range map[string][]*ServerStats{"small": measuredPool(3, 0), "even": measuredPool(10)} {
		pool[1].AddMeasurement(Measurement{TimeToFirstToken: 250 * time.Millisecond})
		if got := EjectOutliers(pool, 0); len(got) != 0 {
			t.Errorf("%s: verdicts %v", name, got)
		}
	}
}

// Guards against predictions that mix prompt sizes or ignore history.
func TestLengths(t *testing.T) {
	var l RunTimeHistory
	if l.Quantile(100, 0.5) != DefaultPrediction {
		t.Fatal("no default without history")
	}
	for i := range 100 {
		l.Add(100, time.Duration(i)*time.Millisecond)
		l.Add(100_000, time.Minute)
	}
	if got := l.Quantile(100, 0.95); got < 95*time.Millisecond || got > 99*time.Millisecond {
		t.Fatalf("p95 is %v", got)
	}
	if got := l.Quantile(100, 0.5); got < 60*time.Millisecond || got > 75*time.Millisecond {
		t.Fatalf("median of the last %d is %v", history, got)
	}
	if got := l.Quantile(120_000, 0.5); got != time.Minute {
		t.Fatalf("median of long prompts is %v", got)
	}
}

// Guards against retry storms: retries of a server stay under 10% of its requests plus one a second.
func TestRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b RetryBudget
		requests, retries := 0, 0
		var now time.Duration
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			if rapid.Bool().Draw(t, "retry") {
				if b.Admits(now) {
					b.SpendRetry(now)
					retries++
				}
				continue
			}
			b.RecordRequest(now)
			requests++
		}
		if limit := 1 + now.Seconds() + 0.1*float64(requests); float64(retries) > limit+1e-6 {
			t.Fatalf("%d retries for %d requests in %v, limit %v", retries, requests, now, limit)
		}
	})
}

// Guards against a server that gets no retry at all for want of other requests.
func TestRetryBudgetMinimum(t *testing.T) {
	var b RetryBudget
	for i := range 10 {
		now := time.Duration(i) * time.Second
		if !b.Admits(now) {
			t.Fatalf("no retry in second %d", i)
		}
		b.SpendRetry(now)
	}
}

func BenchmarkChoose(b *testing.B) {
	const servers = 2000
	for name, every := range map[string]int{"free": 1, "nearly full": 100, "full": servers + 1} {
		b.Run(name, func(b *testing.B) {
			pool := make([]Candidate, servers)
			for i := range pool {
				pool[i] = Candidate{Eligible: i%every == every-1, Local: i%15 == 0, Capacity: 8, InFlight: i % 8, ReportedLoad: i % 9}
			}
			rng := rand.New(rand.NewPCG(1, 2))
			b.ReportAllocs()
			for b.Loop() {
				ChooseServer(servers, rng, func(i int, c *Candidate) { *c = pool[i] })
			}
		})
	}
}

func BenchmarkJudge(b *testing.B) {
	pool := measuredPool(2000, 5)
	b.ReportAllocs()
	for b.Loop() {
		EjectOutliers(pool, 0)
	}
}
