package fleet

import (
	"math"
	"strings"
	"testing"
	"time"

	"filbertledge/internal/errs"
)

// Guards against an odd entry among the servers that takes memory on every VM, that no VM can decode, or that hides the
// entries of a real server, and against refusing what servers say.
func TestValidate(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	long := strings.Repeat("x", maxNameBytes+1)
	for name, tc := range map[string]struct {
		change func(*Server)
		valid  bool
	}{
		"ordinary":                   {func(*Server) {}, true},
		"IPv6":                       {func(s *Server) { s.Address = "[::1]:80" }, true},
		"not an IP":                  {func(s *Server) { s.Address = "host:80" }, false},
		"no slots, zone or software": {func(s *Server) { s.Slots, s.FailureDomain, s.Software = 0, "", "" }, true},
		"longest names":              {func(s *Server) { s.ID = long[1:] }, true},
		"text beyond ASCII":          {func(s *Server) { s.FailureDomain = "Békés" }, true},
		"clock an hour ahead":        {func(s *Server) { s.Incarnation = now.Add(time.Hour).UnixMilli() }, true},
		"no ID":                      {func(s *Server) { s.ID = "" }, false},
		"ID is no text":              {func(s *Server) { s.ID = "i-\xff" }, false},
		"ID too long":                {func(s *Server) { s.ID = long }, false},
		"ID with a line feed":        {func(s *Server) { s.ID = "i\n1" }, false},
		"no service":                 {func(s *Server) { s.Service = "" }, false},
		"zone too long":              {func(s *Server) { s.FailureDomain = strings.Repeat("z", 60000) }, false},
		"software is no text":        {func(s *Server) { s.Software = "\xc3" }, false},
		"port 0":                     {func(s *Server) { s.Address = "10.0.0.1:0" }, false},
		"port out of range":          {func(s *Server) { s.Address = "10.0.0.1:70000" }, false},
		"slots below zero":           {func(s *Server) { s.Slots = math.MinInt }, false},
		"too many slots":             {func(s *Server) { s.Slots = math.MaxInt }, false},
		"start below zero":           {func(s *Server) { s.Incarnation = math.MinInt64 }, false},
		"start at the end of time":   {func(s *Server) { s.Incarnation = math.MaxInt64 }, false},
		"sequence too large":         {func(s *Server) { s.Sequence = math.MaxUint64 }, false},
		"model version too large":    {func(s *Server) { s.Models = []LoadedModel{{"m", math.MaxUint64}} }, false},
		"model name is no text":      {func(s *Server) { s.Models = []LoadedModel{{"\xff", 1}} }, false},
		"too many models":            {func(s *Server) { s.Models = make([]LoadedModel, maxModels+1) }, false},
	} {
		s := newServer("i-1", now.UnixMilli(), 1)
		tc.change(&s)
		err := s.Validate()
		if err == nil {
			err = ValidateStart(s.ID, s.Incarnation, now)
		}
		if (err == nil) != tc.valid || err != nil && !errs.Is(err, errs.InvalidArgument) {
			t.Errorf("%s: got %v, want valid %t", name, err, tc.valid)
		}
	}
}

// Guards against one odd entry in a list that keeps a VM from the other servers of the list.
func TestMergeLeavesOutOddServers(t *testing.T) {
	r := NewRegistry(interval)
	odd, good := newServer("i-\xff", 1, 1), newServer("good", 1, 1)
	if rejected := r.Replace([]Server{odd, good}, 0); len(rejected) != 1 {
		t.Errorf("left out: %v", rejected)
	}
	if list := r.List("", 0); len(list) != 1 || list[0].ID != "good" {
		t.Errorf("got %+v", list)
	}
}
