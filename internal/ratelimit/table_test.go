package ratelimit

import (
	"testing"
	"time"
)

const second = time.Second

// Guards against a limit that is misread, or taken from a value that is no decimal number.
func TestParseStatement(t *testing.T) {
	for name, tc := range map[string]struct {
		values []string
		want   Statement
	}{
		"none":                      {nil, Statement{Kind: Unlimited}},
		"integer":                   {[]string{"7"}, Statement{Limited, 7}},
		"decimal with spaces":       {[]string{" 2.5 "}, Statement{Limited, 2.5}},
		"zero":                      {[]string{"0"}, Statement{Limited, 0}},
		"tiny":                      {[]string{"0.0001"}, Statement{Limited, 0.0001}},
		"huge":                      {[]string{"99999999999"}, Statement{Limited, maxPerSecond}},
		"more digits than a number": {[]string{string(make400Nines())}, Statement{Limited, maxPerSecond}},
		"repeated":                  {[]string{"5", "3"}, Statement{Limited, 3}},
		"empty":                     {[]string{""}, Statement{Kind: Malformed}},
		"negative":                  {[]string{"-1"}, Statement{Kind: Malformed}},
		"exponent":                  {[]string{"1e3"}, Statement{Kind: Malformed}},
		"hexadecimal":               {[]string{"0x10"}, Statement{Kind: Malformed}},
		"infinity":                  {[]string{"inf"}, Statement{Kind: Malformed}},
		"not a number":              {[]string{"NaN"}, Statement{Kind: Malformed}},
		"two points":                {[]string{"1.2.3"}, Statement{Kind: Malformed}},
		"list":                      {[]string{"1, 2"}, Statement{Kind: Malformed}},
		"one of two malformed":      {[]string{"5", "x"}, Statement{Kind: Malformed}},
	} {
		if got := ParseStatement(tc.values); got != tc.want {
			t.Errorf("%s: %+v, want %+v", name, got, tc.want)
		}
	}
}

func make400Nines() []byte {
	digits := make([]byte, 400)
	for i := range digits {
		digits[i] = '9'
	}
	return digits
}

// Guards against a limit that is lost to a response that the server made before it named the limit, and against one
// that outlives its withdrawal.
func TestTableOrdersStatements(t *testing.T) {
	limit := func(perSecond float64) Statement { return Statement{Limited, perSecond} }
	table := NewTable()
	steps := []struct {
		what        string
		statement   Statement
		sentAt, now time.Duration
		limited     bool
		perSecond   float64
	}{
		{"a server that never stated one", Statement{Kind: Unlimited}, 0, 1 * second, false, 0},
		{"named", limit(5), 1 * second, 2 * second, true, 5},
		{"overlapping response without it", Statement{Kind: Unlimited}, 1 * second, 3 * second, true, 5},
		{"malformed", Statement{Kind: Malformed}, 3 * second, 4 * second, true, 5},
		{"response of another server", Statement{}, 3 * second, 4 * second, true, 5},
		{"overlapping, lowered", limit(2), 1 * second, 5 * second, true, 2},
		{"overlapping, raised", limit(9), 4 * second, 6 * second, true, 2},
		{"raised", limit(9), 6 * second, 7 * second, true, 9},
		{"withdrawn", Statement{Kind: Unlimited}, 7 * second, 8 * second, false, 0},
		{"overlapping with the withdrawal", limit(4), 7 * second, 9 * second, true, 4},
	}
	for _, s := range steps {
		table.Observe("s", s.statement, s.sentAt, s.now)
		if perSecond, limited := table.Get("s"); limited != s.limited || limited && perSecond != s.perSecond {
			t.Fatalf("%s: limited %t, %g a second", s.what, limited, perSecond)
		}
	}
}

// Guards against an old statement from another VM that replaces a newer one, and against one that is not taken over.
func TestTableMergeKeepsNewestStatement(t *testing.T) {
	here, there := NewTable(), NewTable()
	there.Observe("a", Statement{Limited, 3}, 1*second, 2*second)
	list, _ := there.List(4 * second)
	if changed := here.Merge(list, 104*second); len(changed) != 1 || list[0].Age != 2*second {
		t.Fatalf("changed %v, list %+v", changed, list)
	}
	here.Observe("a", Statement{Kind: Unlimited}, 105*second, 106*second)
	if changed := here.Merge(list, 104*second+500*time.Millisecond); len(changed) != 0 {
		t.Fatal("an older statement replaced a newer one")
	}
	back, _ := here.List(107 * second)
	there.Merge(back, 10*second)
	if _, limited := there.Get("a"); limited {
		t.Fatal("the withdrawal was not taken over")
	}
	there.Retain(func(string) bool { return false })
	if _, known := there.Lookup("a", 11*second); known {
		t.Fatal("a server that is gone is still known")
	}
}
