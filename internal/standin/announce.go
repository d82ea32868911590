package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"filbertledge/internal/api"
)

const (
	announceInterval = time.Second
	// announceTimeout leaves time to try a second entry VM within the 2.5 s after which a silent server gets no work.
	announceTimeout  = 500 * time.Millisecond
	announceAttempts = 4
)

// AnnouncerOptions configures an Announcer.
type AnnouncerOptions struct {
	Token   string   // pool token
	Entries []string // IP:port of entry VMs to start with
	Seed    uint64
	// Describe returns the current announcement without sequence and state.
	Describe func() api.Announcement
}

// Announcer announces a backend server to entry VMs every second.
type Announcer struct {
	opts   AnnouncerOptions
	client *http.Client
	cancel context.CancelFunc
	done   chan struct{}
	now    chan struct{}

	mu       sync.Mutex
	rng      *rand.Rand
	sequence uint64
	learned  []string
	leaving  bool
	paused   bool
}

// StartAnnouncer starts to announce. Without entries it does nothing.
func StartAnnouncer(opts AnnouncerOptions) *Announcer {
	ctx, cancel := context.WithCancel(context.Background())
	a := &Announcer{
		opts:   opts,
		client: &http.Client{Timeout: announceTimeout},
		cancel: cancel,
		done:   make(chan struct{}),
		now:    make(chan struct{}, 1),
		rng:    rand.New(rand.NewPCG(opts.Seed, 1)),
	}
	go a.run(ctx)
	return a
}

// Close stops the announcements.
func (a *Announcer) Close() {
	a.cancel()
	<-a.done
	a.client.CloseIdleConnections()
}

// Leave announces that the server is leaving, at once and from then on.
func (a *Announcer) Leave() {
	a.mu.Lock()
	a.leaving = true
	a.mu.Unlock()
	a.wake()
}

// AnnounceNow sends an announcement at once.
func (a *Announcer) AnnounceNow() { a.wake() }

// Pause stops or resumes the announcements.
func (a *Announcer) Pause(paused bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.paused = paused
}

// Leaving reports whether the server has announced that it is leaving.
func (a *Announcer) Leaving() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.leaving
}

func (a *Announcer) wake() {
	select {
	case a.now <- struct{}{}:
	default:
	}
}

func (a *Announcer) run(ctx context.Context) {
	defer close(a.done)
	if len(a.opts.Entries) == 0 {
		return
	}
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		a.announce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-a.now:
		}
	}
}

func (a *Announcer) announce(ctx context.Context) {
	for range announceAttempts {
		msg, target, ok := a.next()
		if !ok || a.post(ctx, target, msg) == nil {
			return
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// next returns an announcement and a random entry VM. Three in four go to the entry VMs of the last answer.
func (a *Announcer) next() (api.Announcement, string, bool) {
	msg := a.opts.Describe()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.paused {
		return msg, "", false
	}
	a.sequence++
	msg.Sequence = a.sequence
	msg.State = api.ServerServing
	if a.leaving {
		msg.State = api.ServerLeaving
	}
	targets := a.opts.Entries
	if len(a.learned) > 0 && a.rng.IntN(4) > 0 {
		targets = a.learned
	}
	return msg, targets[a.rng.IntN(len(targets))], true
}

func (a *Announcer) post(ctx context.Context, target string, msg api.Announcement) error {
	body, err := json.Marshal(msg)
	if err != nil {
		return fmt.Errorf("encode the announcement: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+"/backend/v1/announce", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("announce to %s: %w", target, err)
	}
	req.Header.Set("Authorization", "Bearer "+a.opts.Token)
	req.Header.Set("Content-Type", "application/json")
	resp, err := a.client.Do(req)
	if err != nil {
		return fmt.Errorf("announce to %s: %w", target, err)
	}
	defer resp.Body.Close()
	return a.learn(target, resp)
}

func (a *Announcer) learn(target string, resp *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	if err != nil {
		return fmt.Errorf("read the answer of %s: %w", target, err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("entry VM %s answered %s to an announcement: %s", target, resp.Status, body)
	}
	var answer struct {
		VMs []string `json:"vms"`
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return fmt.Errorf("decode the answer of %s: %w", target, err)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(answer.VMs) > 0 {
		a.learned = answer.VMs
	}
	return nil
}
