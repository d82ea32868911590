package routes

import (
	"strings"
	"testing"

	"filbertledge/internal/errs"
)

func valid() *Configuration {
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

func TestMatchTakesTheLongestPrefix(t *testing.T) {
	c := valid()
	for path, want := range map[string]string{"/": "all", "/x/1": "short", "/x/y/1": "deep", "/x/y": "short", "/z": "all"} {
		if r := c.Match("A.example", path); r == nil || r.Name != want {
			t.Errorf("Match(%q) = %v, want %s", path, r, want)
		}
	}
	if r := c.Match("b.example", "/x/1"); r != nil {
		t.Errorf("a foreign host matches route %s", r.Name)
	}
}

func TestValidateNamesTheProblem(t *testing.T) {
	for name, tc := range map[string]struct {
		change func(*Configuration)
		want   string
	}{
		"valid":           {func(*Configuration) {}, ""},
		"unknown service": {func(c *Configuration) { c.Routes[0].ServiceWeights[0].Service = "none" }, "unknown service"},
		"same place":      {func(c *Configuration) { c.Routes[2].Prefix = "/" }, "share"},
		"no weight":       {func(c *Configuration) { c.Routes[0].ServiceWeights[0].Weight = 0 }, "add up to zero"},
		"negative weight": {func(c *Configuration) { c.Routes[1].ServiceWeights[0].Weight = -1 }, "negative"},
		"bad prefix":      {func(c *Configuration) { c.Routes[0].Prefix = "x/" }, "malformed"},
		"same service":    {func(c *Configuration) { c.Services[1].Name = "app" }, "name of its own"},
	} {
		t.Run(name, func(t *testing.T) {
			c := valid()
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

func TestPickFollowsTheWeights(t *testing.T) {
	r := valid().Routes[1]
	counts := map[string]int{}
	const draws = 1000
	for i := range draws {
		counts[r.PickService(float64(i)/draws)]++
	}
	if counts["app"] != draws/4 || counts["llm"] != draws*3/4 {
		t.Fatalf("got %v", counts)
	}
	if !r.Allows("llm") || r.Allows("other") {
		t.Fatal("Allows does not follow the shares")
	}
}
