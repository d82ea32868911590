package rollout

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"filbertledge/internal/blobs"
	"filbertledge/internal/errs"
	"filbertledge/internal/fleet"
	"filbertledge/internal/routes"
)

// keptDepartures bounds the record of servers that left. A departed incarnation is not announced again.
const keptDepartures = 2048

// TextStore keeps the texts of results outside the state.
type TextStore interface {
	Append(text []byte) (blobs.Ref, error)
	Read(ref blobs.Ref) ([]byte, error)
	Sync() error
	// Retain removes what lies in other segments than the given ones.
	Retain(segments map[uint64]bool) error
}

// listedResult is a result whose text is on the disk.
type listedResult struct {
	Item      int       `cbor:"1,keyasint"`
	Completed bool      `cbor:"2,keyasint,omitempty"`
	Versions  []uint64  `cbor:"3,keyasint,omitempty"`
	Ref       blobs.Ref `cbor:"4,keyasint,omitempty"`
}

// job is a batch and what has become of it.
type job struct {
	Batch   Batch          `cbor:"1,keyasint"`
	Results []listedResult `cbor:"2,keyasint,omitempty"`
	Ended   bool           `cbor:"3,keyasint,omitempty"`
	// Partials are the texts of items that are not listed, by their position in the batch.
	Partials map[int]Partial `cbor:"4,keyasint,omitempty"`

	listed []bool
	index  map[string]int
}

func (j *job) prepare() {
	j.listed = make([]bool, len(j.Batch.Items))
	j.index = make(map[string]int, len(j.Batch.Items))
	for i, item := range j.Batch.Items {
		j.index[item.ID] = i
	}
	for _, r := range j.Results {
		j.listed[r.Item] = true
	}
}

// image is the encoded state.
type image struct {
	Configuration *routes.Configuration `cbor:"1,keyasint,omitempty"`
	Versions      map[string]uint64     `cbor:"2,keyasint,omitempty"`
	Jobs          []job                 `cbor:"3,keyasint,omitempty"`
	Departures    []ServerIncarnation   `cbor:"4,keyasint,omitempty"`
	Retired       []string              `cbor:"5,keyasint,omitempty"`
	Servers       []fleet.Server        `cbor:"6,keyasint,omitempty"`
}

// State is the replicated state. Apply is called by one goroutine, the views by any.
type State struct {
	texts         TextStore
	mu            sync.RWMutex
	configuration *routes.Configuration
	versions      map[string]uint64
	jobs          map[string]*job
	order         []string // batches in the order of their acceptance
	departures    []ServerIncarnation
	servers       map[string]fleet.Server // by ID; where to find them after a restart of all VMs
	retired       map[string]bool
	changed       chan struct{} // closed and replaced at each change
	// OnApplied is called after each command with what it changed, outside the lock. It may be nil.
	OnApplied func(Command, Outcome)
	// OnFailure is called when a text cannot be kept; the replica must end. It must be set.
	OnFailure func(error)
}

// NewState returns an empty state that keeps its texts in texts.
func NewState(texts TextStore) *State {
	return &State{texts: texts, versions: map[string]uint64{}, jobs: map[string]*job{}, servers: map[string]fleet.Server{}, retired: map[string]bool{}, changed: make(chan struct{})}
}

var decoding = mustDecMode()

// maxElements bounds arrays and maps of a decoded command or snapshot.
const maxElements = 1 << 20

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		IndefLength: cbor.IndefLengthForbidden, MaxArrayElements: maxElements, MaxMapPairs: maxElements,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// EncodeCommand returns a command for the log.
func EncodeCommand(c Command) ([]byte, error) {
	data, err := cbor.Marshal(c)
	return data, errs.Wrap(err, errs.Internal, "report this fault", "cannot encode a command")
}

// DecodeOutcome reads the result of a command.
func DecodeOutcome(data []byte) (Outcome, error) {
	var o Outcome
	err := decoding.Unmarshal(data, &o)
	return o, errs.Wrap(err, errs.Internal, "use the same version of filbertledge on all VMs", "cannot decode the outcome of a command")
}

// Apply executes a committed command.
func (s *State) Apply(_ uint64, data []byte) []byte {
	var c Command
	if err := decoding.Unmarshal(data, &c); err != nil {
		// All replicas fail in the same way, so the state stays the same everywhere.
		return nil
	}
	s.mu.Lock()
	o := s.apply(c)
	if o.Changed {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	s.mu.Unlock()
	if s.OnApplied != nil {
		s.OnApplied(c, o)
	}
	result, err := cbor.Marshal(o)
	if err != nil {
		return nil // two booleans always encode
	}
	return result
}

func (s *State) apply(c Command) Outcome {
	switch {
	case c.Configure != nil:
		return s.configure(c.Configure)
	case c.Publish != nil:
		return s.publish(*c.Publish)
	case c.Accept != nil:
		return s.accept(c.Accept)
	case len(c.Results) > 0:
		return s.record(c.Results)
	case len(c.Progress) > 0:
		return s.progress(c.Progress)
	case c.EndBatch != "":
		return s.end(c.EndBatch)
	case c.Depart != nil:
		return s.depart(*c.Depart)
	case c.Register != nil:
		return s.register(*c.Register)
	case len(c.Unregister) > 0:
		return s.unregister(c.Unregister)
	case len(c.DeleteBatches) > 0:
		return s.forget(c.DeleteBatches)
	case c.Retire != nil:
		s.retired[c.Retire.VM] = true
		return Outcome{Changed: true, Found: true}
	}
	return Outcome{}
}

// configure takes only a higher version: configurations may arrive again and out of order.
func (s *State) configure(c *routes.Configuration) Outcome {
	if s.configuration != nil && c.Version <= s.configuration.Version {
		return Outcome{Found: true}
	}
	s.configuration = c
	return Outcome{Changed: true, Found: true}
}

func (s *State) publish(v ModelVersion) Outcome {
	if v.Version <= s.versions[v.Model] {
		return Outcome{Found: true}
	}
	s.versions[v.Model] = v.Version
	return Outcome{Changed: true, Found: true}
}

func (s *State) accept(b *Batch) Outcome {
	if s.jobs[b.ID] != nil {
		return Outcome{Found: true}
	}
	j := &job{Batch: *b}
	j.Batch.Items = slices.Clone(b.Items) // bodies are dropped from the copy only
	j.prepare()
	s.jobs[b.ID] = j
	s.order = append(s.order, b.ID)
	return Outcome{Changed: true, Found: true}
}

// record lists results. An item that is listed keeps its first result.
func (s *State) record(list []BatchResult) Outcome {
	o := Outcome{Found: true}
	for _, r := range list {
		j := s.jobs[r.Batch]
		if j == nil || r.Result.Item < 0 || r.Result.Item >= len(j.listed) || j.listed[r.Result.Item] {
			continue
		}
		text, ok := joined(j.Partials[r.Result.Item].Text, r.Result.Offset, r.Result.Text)
		if !ok {
			continue // the leader's view of what is committed is wrong; it commits the whole text next
		}
		ref, err := s.texts.Append(text)
		if err != nil {
			s.OnFailure(err)
			return o
		}
		j.listed[r.Result.Item] = true
		j.Batch.Items[r.Result.Item].settle()
		delete(j.Partials, r.Result.Item)
		j.Results = append(j.Results, listedResult{Item: r.Result.Item, Completed: r.Result.Completed, Versions: r.Result.Versions, Ref: ref})
		o.Changed = true
	}
	return o
}

// joined returns the first offset bytes of committed and then text.
func joined(committed []byte, offset int, text []byte) ([]byte, bool) {
	if offset > len(committed) {
		return nil, false
	}
	if offset == 0 {
		return text, true
	}
	return append(committed[:offset:offset], text...), true
}

func (s *State) progress(list []Progress) Outcome {
	for _, p := range list {
		j := s.jobs[p.Batch]
		if j == nil || j.Ended || p.Item < 0 || p.Item >= len(j.listed) || j.listed[p.Item] {
			continue
		}
		text, ok := joined(j.Partials[p.Item].Text, p.Offset, p.Text)
		if !ok {
			continue // the item goes on from less
		}
		if j.Partials == nil {
			j.Partials = map[int]Partial{}
		}
		j.Partials[p.Item] = Partial{Text: text, Events: p.Events, Versions: p.Versions}
	}
	return Outcome{Found: true}
}

func (s *State) end(id string) Outcome {
	j := s.jobs[id]
	if j == nil {
		return Outcome{}
	}
	changed := !j.Ended
	j.Ended = true
	j.Partials = nil
	for i := range j.Batch.Items {
		j.Batch.Items[i].settle()
	}
	return Outcome{Changed: changed, Found: true}
}

func (s *State) depart(d ServerIncarnation) Outcome {
	for _, known := range s.departures {
		if known == d {
			return Outcome{Found: true}
		}
	}
	s.departures = append(s.departures, d)
	s.unregister([]ServerIncarnation{d})
	if len(s.departures) > keptDepartures {
		s.departures = slices.Clone(s.departures[1:])
	}
	return Outcome{Changed: true, Found: true}
}

// register keeps the newest incarnation of a server. An address belongs to one server.
func (s *State) register(v fleet.Server) Outcome {
	if s.servers[v.ID].Incarnation > v.Incarnation || slices.Contains(s.departures, ServerIncarnation{Server: v.ID, Incarnation: v.Incarnation}) {
		return Outcome{Found: true}
	}
	for id, other := range s.servers {
		if other.Address == v.Address && other.Incarnation <= v.Incarnation {
			delete(s.servers, id)
		}
	}
	s.servers[v.ID] = v
	return Outcome{Changed: true, Found: true}
}

func (s *State) unregister(list []ServerIncarnation) Outcome {
	o := Outcome{Found: true}
	for _, d := range list {
		if v, ok := s.servers[d.Server]; ok && v.Incarnation <= d.Incarnation {
			delete(s.servers, d.Server)
			o.Changed = true
		}
	}
	return o
}

// Servers returns the servers that were registered and have not left, ordered by ID.
func (s *State) Servers() []fleet.Server {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.sortedServers()
}

func (s *State) sortedServers() []fleet.Server {
	return slices.SortedFunc(maps.Values(s.servers), func(a, b fleet.Server) int { return cmp.Compare(a.ID, b.ID) })
}

func (s *State) forget(ids []string) Outcome {
	for _, id := range ids {
		delete(s.jobs, id)
	}
	s.order = slices.DeleteFunc(s.order, func(id string) bool { return s.jobs[id] == nil })
	return Outcome{Changed: true, Found: true}
}

// Snapshot encodes the state.
func (s *State) Snapshot() ([]byte, error) { return s.Capture()() }

// Capture copies the state, without the texts, and returns the function that makes the texts durable and encodes the
// copy.
func (s *State) Capture() func() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	img := image{
		Configuration: s.configuration, Versions: maps.Clone(s.versions),
		Departures: slices.Clone(s.departures), Retired: slices.Sorted(maps.Keys(s.retired)),
		Servers: s.sortedServers(),
	}
	for _, id := range s.order {
		j := s.jobs[id]
		copied := job{Batch: j.Batch, Results: j.Results[:len(j.Results):len(j.Results)], Ended: j.Ended, Partials: maps.Clone(j.Partials)}
		copied.Batch.Items = slices.Clone(j.Batch.Items)
		img.Jobs = append(img.Jobs, copied)
	}
	return func() ([]byte, error) {
		if err := s.texts.Sync(); err != nil {
			return nil, err
		}
		return encodeImage(img)
	}
}

func encodeImage(img image) ([]byte, error) {
	data, err := cbor.Marshal(img)
	return data, errs.Wrap(err, errs.Internal, "report this fault", "cannot encode the state")
}

func decodeImage(data []byte) (image, error) {
	var img image
	err := decoding.Unmarshal(data, &img)
	return img, errs.Wrap(err, errs.StorageCorrupt, "replace the replica", "cannot decode a snapshot of %d bytes", len(data))
}

// ReferencedSegments returns the segments that a snapshot refers to, and how much of each.
func ReferencedSegments(snapshot []byte) (map[uint64]int64, error) {
	img, err := decodeImage(snapshot)
	if err != nil {
		return nil, err
	}
	used := map[uint64]int64{}
	for i := range img.Jobs {
		for _, r := range img.Jobs[i].Results {
			used[r.Ref.Segment] = max(used[r.Ref.Segment], r.Ref.Offset+int64(r.Ref.Length))
		}
	}
	delete(used, 0) // empty texts
	return used, nil
}

// Restore replaces the state by a snapshot. The segments that it refers to must be here.
func (s *State) Restore(data []byte) error {
	img, err := decodeImage(data)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configuration, s.departures = img.Configuration, img.Departures
	s.versions = img.Versions
	if s.versions == nil {
		s.versions = map[string]uint64{}
	}
	s.jobs, s.order, s.retired = map[string]*job{}, nil, map[string]bool{}
	for i := range img.Jobs {
		j := &img.Jobs[i]
		j.prepare()
		s.jobs[j.Batch.ID] = j
		s.order = append(s.order, j.Batch.ID)
	}
	for _, vm := range img.Retired {
		s.retired[vm] = true
	}
	s.servers = map[string]fleet.Server{}
	for _, v := range img.Servers {
		s.servers[v.ID] = v
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

// Compacted removes texts that neither the state nor the given snapshot of this replica refers to.
func (s *State) Compacted(snapshot []byte) error {
	segments, err := ReferencedSegments(snapshot)
	if err != nil {
		return err
	}
	used := map[uint64]bool{}
	for number := range segments {
		used[number] = true
	}
	s.mu.RLock()
	for _, j := range s.jobs {
		for _, r := range j.Results {
			used[r.Ref.Segment] = true
		}
	}
	s.mu.RUnlock()
	return s.texts.Retain(used)
}

// Changed returns a channel that is closed at the next change.
func (s *State) Changed() <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.changed
}

// Configuration returns the newest configuration, or nil.
func (s *State) Configuration() *routes.Configuration {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.configuration
}

// Versions returns the newest named version of each model.
func (s *State) Versions() map[string]uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return maps.Clone(s.versions)
}

// Departures returns the servers that are known to leave.
func (s *State) Departures() []ServerIncarnation {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return slices.Clone(s.departures)
}

// Retired returns the VMs that are to be emptied.
func (s *State) Retired() map[string]bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return maps.Clone(s.retired)
}

// Page is a part of a batch's results.
type Page struct {
	Total   int      `cbor:"1,keyasint"`
	Next    int      `cbor:"2,keyasint"`
	Results []Result `cbor:"3,keyasint,omitempty"`
	IDs     []string `cbor:"4,keyasint,omitempty"` // of the items of Results
	Ended   bool     `cbor:"5,keyasint,omitempty"`
}

// ReadResults returns the results from position after on, up to maxBytes but at least one if there is one. found is false if
// the batch is unknown.
func (s *State) ReadResults(id string, after, maxBytes int) (p Page, found bool, err error) {
	listed, p, found := s.list(id, after, maxBytes)
	for _, r := range listed {
		text, err := s.texts.Read(r.Ref)
		if err != nil {
			return Page{}, found, err
		}
		p.Results = append(p.Results, Result{Item: r.Item, Completed: r.Completed, Text: text, Versions: r.Versions})
	}
	return p, found, nil
}

// list selects the results of a page, without their texts.
func (s *State) list(id string, after, maxBytes int) (listed []listedResult, p Page, found bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	j := s.jobs[id]
	if j == nil {
		return nil, Page{}, false
	}
	p = Page{Total: len(j.Batch.Items), Next: after, Ended: j.Ended}
	size := 0
	for i := max(after, 0); i < len(j.Results); i++ {
		r := j.Results[i]
		size += r.Ref.Length + resultOverhead
		if size > maxBytes && len(listed) > 0 {
			break
		}
		listed = append(listed, r)
		p.IDs = append(p.IDs, j.Batch.Items[r.Item].ID)
		p.Next = i + 1
	}
	return listed, p, true
}

// resultOverhead is about what a result's fields take besides its text, in bytes.
const resultOverhead = 128

// ItemBody returns the body of an item that is not listed yet. found tells whether the batch exists.
func (s *State) ItemBody(id, item string) (body []byte, open, found bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	j := s.jobs[id]
	if j == nil {
		return nil, false, false
	}
	i, ok := j.index[item]
	if !ok || j.Ended || j.listed[i] {
		return nil, false, true
	}
	return j.Batch.Items[i].Body, true, true
}

// OpenBatch is a batch with work left.
type OpenBatch struct {
	Batch     Batch
	HasResult []bool
	Partials  map[int]Partial
}

// OpenBatches returns the batches that are not ended, in the order of their acceptance.
func (s *State) OpenBatches() []OpenBatch {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var out []OpenBatch
	for _, id := range s.order {
		if j := s.jobs[id]; !j.Ended {
			open := OpenBatch{Batch: j.Batch, HasResult: slices.Clone(j.listed), Partials: maps.Clone(j.Partials)}
			open.Batch.Items = slices.Clone(j.Batch.Items)
			out = append(out, open)
		}
	}
	return out
}

// ExpiredBatches returns the ended batches that were submitted before the given time.
func (s *State) ExpiredBatches(before time.Time) []string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var out []string
	for _, id := range s.order {
		if j := s.jobs[id]; j.Ended && j.Batch.Submitted < before.UnixMilli() {
			out = append(out, id)
		}
	}
	return out
}
