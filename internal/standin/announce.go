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
	// announceTimeout leaves time for a second entry VM: a backend server that has been silent for 2.5 s gets no new
	// requests.
	announceTimeout  = 500 * time.Millisecond
	announceAttempts = 4
)

// AnnouncerOptions configures an Announcer.
type AnnouncerOptions struct {
	Token   string   // pool token
	Entries []string // IP:port of the configured entry VMs
	Seed    uint64
	// Describe returns the current announcement; the announcer sets its sequence number and state.
	Describe func() api.Announcement
}

// Announcer sends the announcement of a backend server to a random entry VM every second.
type Announcer struct {
	opts   AnnouncerOptions
	client *http.Client
	cancel context.CancelFunc
	done   chan struct{}
	wakeup chan struct{}

	mu             sync.Mutex
	rng            *rand.Rand
	sequence       uint64
	learnedEntries []string // entry VMs that the last response listed
	leaving        bool
	paused         bool
}

// StartAnnouncer starts sending announcements. Without entry VMs in opts it sends none.
func StartAnnouncer(opts AnnouncerOptions) *Announcer {
	ctx, cancel := context.WithCancel(context.Background())
	a := &Announcer{
		opts:   opts,
		client: &http.Client{Timeout: announceTimeout},
		cancel: cancel,
		done:   make(chan struct{}),
		wakeup: make(chan struct{}, 1),
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

// Leave announces at once that the server is leaving, and repeats this in all later announcements.
func (a *Announcer) Leave() {
	a.mu.Lock()
	a.leaving = true
	a.mu.Unlock()
	a.wake()
}

// AnnounceNow sends an announcement without waiting for the next interval.
func (a *Announcer) AnnounceNow() { a.wake() }

// Pause stops or resumes the announcements.
func (a *Announcer) Pause(paused bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.paused = paused
}

// Leaving reports whether Leave has been called.
func (a *Announcer) Leaving() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.leaving
}

func (a *Announcer) wake() {
	select {
	case a.wakeup <- struct{}{}:
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
		case <-a.wakeup:
		}
	}
}

func (a *Announcer) announce(ctx context.Context) {
	for range announceAttempts {
		msg, target, ok := a.nextAnnouncement()
		if !ok || a.post(ctx, target, msg) == nil {
			return
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// nextAnnouncement returns the next announcement and a random entry VM to send it to. Three of four announcements go
// to the entry VMs that the last response listed, the rest to the configured ones. The result is false while
// announcements are paused.
func (a *Announcer) nextAnnouncement() (api.Announcement, string, bool) {
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
	if len(a.learnedEntries) > 0 && a.rng.IntN(4) > 0 {
		targets = a.learnedEntries
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
		return fmt.Errorf("create the announcement request to entry VM %s: %w", target, err)
	}
	req.Header.Set("Authorization", "Bearer "+a.opts.Token)
	req.Header.Set("Content-Type", "application/json")
	resp, err := a.client.Do(req)
	if err != nil {
		return fmt.Errorf("send the announcement to entry VM %s: %w", target, err)
	}
	defer resp.Body.Close()
	return a.learnEntries(target, resp)
}

// learnEntries stores the entry VMs that the response lists.
func (a *Announcer) learnEntries(target string, resp *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	if err != nil {
		return fmt.Errorf("read the response of entry VM %s: %w", target, err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("entry VM %s responded to the announcement with status %s: %s", target, resp.Status, body)
	}
	var answer struct {
		VMs []string `json:"vms"`
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return fmt.Errorf("decode the response of entry VM %s: %w", target, err)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(answer.VMs) > 0 {
		a.learnedEntries = answer.VMs
	}
	return nil
}
