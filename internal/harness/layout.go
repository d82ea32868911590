// Package harness starts a whole deployment as real processes on loopback, for the demo, the scenarios and the
// measurements. It is not part of the product.
package harness

import (
	"crypto/sha256"
	"encoding/csv"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Layout describes a deployment.
type Layout struct {
	Name     string
	VMs      []VMSpec
	Engines  []BackendSpec
	Services []BackendSpec
	Rows     []RowSpec
	Model    string // served by all engines
	// OtherPools are additional pools without servers in the layout; the code that uses the deployment announces them.
	OtherPools []string
}

// VMSpec describes one entry VM.
type VMSpec struct {
	Name    string
	Domain  string
	Replica bool // runs a control replica and has a data folder
}

// BackendSpec describes one backend server.
type BackendSpec struct {
	ID       string
	Domain   string
	Pool     string
	Capacity int
}

// RowSpec describes one row of the table. Its bearer token is Token(Name).
type RowSpec struct {
	Name                 string
	Kind                 string // chat, rollout or service
	Pool                 string
	Model                string
	MaxStalenessVersions int
	MaxInFlight          int
	Priority             int
	NonIdempotent        bool
	Deadline             time.Duration
	Scored               bool // samples are scored by the deployment's scoring stand-in
}

// Token returns the bearer token of a row or pool.
func Token(name string) string { return "token-of-" + name }

func tokenDigest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Pools returns the pools of the layout's backend servers in order of first use, followed by OtherPools.
func (l *Layout) Pools() []string {
	var pools []string
	seen := map[string]bool{}
	for _, list := range [][]BackendSpec{l.Engines, l.Services} {
		for _, b := range list {
			if !seen[b.Pool] {
				seen[b.Pool] = true
				pools = append(pools, b.Pool)
			}
		}
	}
	return append(pools, l.OtherPools...)
}

// TableCSV returns the rows as CSV for `filbertledge table import`.
func (l *Layout) TableCSV(scoringURL string) (string, error) {
	var b strings.Builder
	w := csv.NewWriter(&b)
	_ = w.Write([]string{
		"name", "kind", "pool", "model", "weights", "max_staleness_versions", "max_staleness_time", "max_in_flight",
		"priority", "non_idempotent", "deadline", "scoring", "refusal_budget", "token_sha256",
	})
	for _, r := range l.Rows {
		scoring := ""
		if r.Scored {
			scoring = scoringURL
		}
		_ = w.Write([]string{
			r.Name, r.Kind, r.Pool, r.Model, "any", strconv.Itoa(r.MaxStalenessVersions), "0s", strconv.Itoa(r.MaxInFlight),
			strconv.Itoa(r.Priority), strconv.FormatBool(r.NonIdempotent), r.Deadline.String(), scoring, "10", tokenDigest(Token(r.Name)),
		})
	}
	w.Flush()
	if err := w.Error(); err != nil {
		return "", fmt.Errorf("write the table as CSV: %w", err)
	}
	return b.String(), nil
}

const (
	engineCapacity  = 8
	serviceCapacity = 16
	chatDeadline    = 30 * time.Second
	serviceDeadline = 10 * time.Second
	rolloutDeadline = 2 * time.Minute
)

func engines(pool string, n int, domains []string) []BackendSpec {
	return backends(pool, "engine", n, engineCapacity, domains)
}

func services(pool string, n int, domains []string) []BackendSpec {
	return backends(pool, "service", n, serviceCapacity, domains)
}

func backends(pool, kind string, n, capacity int, domains []string) []BackendSpec {
	list := make([]BackendSpec, n)
	for i := range list {
		list[i] = BackendSpec{ID: fmt.Sprintf("%s-%d", kind, i+1), Domain: domains[i%len(domains)], Pool: pool, Capacity: capacity}
	}
	return list
}

// Galambkert is the layout of the dove booking service: four failure domains, eight entry VMs (five with a
// control replica), eight engines and four services. No failure domain holds a majority of the control replicas.
func Galambkert() Layout {
	domains := []string{"szeged-a", "szeged-b", "kecskemet-a", "bekes-a"}
	const model = "drafter"
	const pool = "drafter-llm"
	return Layout{
		Name: "galambkert",
		VMs: []VMSpec{
			{"szeged-a-1", "szeged-a", true},
			{"szeged-b-1", "szeged-b", true},
			{"kecskemet-a-1", "kecskemet-a", true},
			{"bekes-a-1", "bekes-a", true},
			{"szeged-a-2", "szeged-a", true},
			{"szeged-b-2", "szeged-b", false},
			{"kecskemet-a-2", "kecskemet-a", false},
			{"bekes-a-2", "bekes-a", false},
		},
		Engines:  engines(pool, 8, domains),
		Services: services("booking-api", 4, domains),
		Model:    model,
		Rows: []RowSpec{
			{Name: "reply-chat", Kind: "chat", Pool: pool, Model: model, Priority: 10, Deadline: chatDeadline},
			{Name: "venue-replies", Kind: "rollout", Pool: pool, Model: model, MaxStalenessVersions: 1, Deadline: rolloutDeadline, Scored: true},
			{Name: "funeral-replies", Kind: "rollout", Pool: pool, Model: model, MaxStalenessVersions: 1, Deadline: rolloutDeadline, Scored: true},
			{Name: "booking", Kind: "service", Pool: "booking-api", Priority: 10, NonIdempotent: true, Deadline: serviceDeadline},
			{Name: "slot-check", Kind: "service", Pool: "booking-api", Priority: 5, Deadline: serviceDeadline},
		},
	}
}

// Noelasilm is the layout of the darning kit shop: three failure domains, seven entry VMs (five with a control
// replica), eleven engines and three services.
func Noelasilm() Layout {
	domains := []string{"tln-a", "tln-b", "tln-c"}
	const model = "tutor"
	const pool = "tutor-llm"
	return Layout{
		Name: "noelasilm",
		VMs: []VMSpec{
			{"tln-a-1", "tln-a", true},
			{"tln-b-1", "tln-b", true},
			{"tln-c-1", "tln-c", true},
			{"tln-a-2", "tln-a", true},
			{"tln-b-2", "tln-b", true},
			{"tln-c-2", "tln-c", false},
			{"tln-a-3", "tln-a", false},
		},
		Engines:  engines(pool, 11, domains),
		Services: services("shop-app", 3, domains),
		Model:    model,
		Rows: []RowSpec{
			{Name: "tutor-chat", Kind: "chat", Pool: pool, Model: model, Priority: 10, Deadline: chatDeadline},
			{Name: "stitch-advice", Kind: "rollout", Pool: pool, Model: model, MaxStalenessVersions: 1, Deadline: rolloutDeadline, Scored: true},
			{Name: "pattern-fix", Kind: "rollout", Pool: pool, Model: model, MaxStalenessVersions: 1, Deadline: rolloutDeadline, Scored: true},
			{Name: "heel-repair", Kind: "rollout", Pool: pool, Model: model, MaxStalenessVersions: 2, Deadline: rolloutDeadline, Scored: true},
			{Name: "checkout", Kind: "service", Pool: "shop-app", Priority: 10, NonIdempotent: true, Deadline: serviceDeadline},
			{Name: "shop", Kind: "service", Pool: "shop-app", Priority: 5, Deadline: serviceDeadline},
		},
	}
}
