package routes

import (
	"strings"
	"testing"

	"filbertledge/internal/errs"
	"pgregory.net/rapid"
)

func validConfiguration() *Configuration {
	return &Configuration{
		Version:  3,
		Services: []Service{{Name: "app"}, {Name: "llm", Models: []string{"m"}}},
		Routes: []Route{
			{Name: "all", Host: "a.example", Prefix: "/", Kind: Idempotent, ServiceWeights: []ServiceWeight{{"app", 1}}},
			{Name: "deep", Host: "a.example", Prefix: "/x/y/", Kind: NonIdempotent, ServiceWeights: []ServiceWeight{{"app", 1}, {"llm", 3}}},
			{Name: "short", Host: "a.example", Prefix: "/x/", Kind: Rollout, ServiceWeights: []ServiceWeight{{"llm", 1}}},
		},
	}
}

// Guards against a request that is matched to a route with a shorter prefix or of another host.
func TestMatchReturnsLongestPrefix(t *testing.T) {
	c := validConfiguration()
	for path, want := range map[string]string{"/": "all", "/x/1": "short", "/x/y/1": "deep", "/x/y": "short", "/z": "all"} {
		if r := c.Match("A.example", path); r == nil || r.Name != want {
			t.Errorf("Match(%q) = %v, want %s", path, r, want)
		}
	}
	if r := c.Match("b.example", "/x/1"); r != nil {
		t.Errorf("a path of an unknown host matches route %s", r.Name)
	}
}

// Guards against an invalid configuration that is accepted, or rejected without naming the problem.
func TestValidateDescribesProblem(t *testing.T) {
	for name, tc := range map[string]struct {
		change func(*Configuration)
		want   string
	}{
		"valid":                {func(*Configuration) {}, ""},
		"unknown service":      {func(c *Configuration) { c.Routes[0].ServiceWeights[0].Service = "none" }, "unknown service"},
		"same host and prefix": {func(c *Configuration) { c.Routes[2].Prefix = "/" }, "share"},
		"zero weight":          {func(c *Configuration) { c.Routes[0].ServiceWeights[0].Weight = 0 }, "add up to zero"},
		"negative weight":      {func(c *Configuration) { c.Routes[1].ServiceWeights[0].Weight = -1 }, "negative"},
		"malformed prefix":     {func(c *Configuration) { c.Routes[0].Prefix = "x/" }, "malformed"},
		"duplicate service":    {func(c *Configuration) { c.Services[1].Name = "app" }, "is empty or not unique"},
	} {
		t.Run(name, func(t *testing.T) {
			c := validConfiguration()
			tc.change(c)
			err := c.Validate()
			if tc.want == "" {
				if err != nil {
					t.Fatal(err)
				}
				return
			}
			if !errs.Is(err, errs.InvalidArgument) || !strings.Contains(err.Error(), tc.want) {
				t.Fatalf("got %v, want an error with %q", err, tc.want)
			}
		})
	}
}

// Guards against a traffic split that does not match the weights.
func TestPickServiceFollowsWeights(t *testing.T) {
	r := validConfiguration().Routes[1]
	counts := map[string]int{}
	const draws = 1000
	for i := range draws {
		counts[r.PickService(float64(i)/draws)]++
	}
	if counts["app"] != draws/4 || counts["llm"] != draws*3/4 {
		t.Fatalf("picks by service: %v", counts)
	}
	if !r.Allows("llm") || r.Allows("other") {
		t.Fatal("Allows does not follow the weights")
	}
}

// TestMatchEqualsLinearSearch guards against an index that finds another route than a search of all routes: the longest
// prefix of the path, for the host in any case.
func TestMatchEqualsLinearSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := []string{"a.example", "A.example", "b.example"}
		part := rapid.SampledFrom([]string{"", "x", "y", "xx"})
		var c Configuration
		seen := map[string]bool{}
		for range rapid.IntRange(0, 8).Draw(t, "routes") {
			prefix := "/"
			for range rapid.IntRange(0, 3).Draw(t, "parts") {
				prefix += part.Draw(t, "part") + "/"
			}
			r := Route{Host: rapid.SampledFrom(hosts).Draw(t, "host"), Prefix: prefix}
			if key := strings.ToLower(r.Host) + prefix; !seen[key] {
				seen[key] = true
				c.Routes = append(c.Routes, r)
			}
		}
		path := ""
		for range rapid.IntRange(0, 4).Draw(t, "path parts") {
			path += "/" + part.Draw(t, "path part")
		}
		host := rapid.SampledFrom(append(hosts, "c.example")).Draw(t, "request host")
		var want *Route
		for i := range c.Routes {
			r := &c.Routes[i]
			if strings.EqualFold(r.Host, host) && strings.HasPrefix(path, r.Prefix) && (want == nil || len(r.Prefix) > len(want.Prefix)) {
				want = r
			}
		}
		if got := c.Match(host, path); got != want {
			t.Fatalf("%s%s: got route %+v, want %+v", host, path, got, want)
		}
	})
}
