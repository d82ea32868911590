package rollout

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"filbertledge/internal/blobs"
	"filbertledge/internal/errs"
	"filbertledge/internal/fleet"
	"filbertledge/internal/routes"
	"filbertledge/internal/usage"
)

// TextStore stores the result texts and the bodies of large batches, which are too large for the snapshots of the state.
type TextStore interface {
	Append(text []byte) (blobs.Ref, error)
	AppendBody(body []byte) (blobs.Ref, error)
	Read(ref blobs.Ref) ([]byte, error)
	Sync() error
	// Retain deletes all segments except the given ones.
	Retain(segments map[uint64]bool) error
}

// storedResult is a Result whose text is in the TextStore.
type storedResult struct {
	Item      int       `cbor:"1,keyasint"`
	Completed bool      `cbor:"2,keyasint,omitempty"`
	Versions  []uint64  `cbor:"3,keyasint,omitempty"`
	Ref       blobs.Ref `cbor:"4,keyasint,omitempty"`
	Score     string    `cbor:"5,keyasint,omitempty"`
}

// batchState is a batch with its results and its unfinished texts.
type batchState struct {
	Batch   Batch          `cbor:"1,keyasint"`
	Results []storedResult `cbor:"2,keyasint,omitempty"`
	Ended   bool           `cbor:"3,keyasint,omitempty"`
	// Partials are the committed texts of items without a result, keyed by index in Batch.Items.
	Partials map[int]Partial `cbor:"4,keyasint,omitempty"`
	// Bodies are the stored bodies of the items. They are dropped once no item is open.
	Bodies pieces `cbor:"5,keyasint,omitempty"`

	hasResult []bool         // by index in Batch.Items
	itemIndex map[string]int // index in Batch.Items by item ID
}

// buildIndexes sets the fields that are derived from Batch and Results.
func (batch *batchState) buildIndexes() {
	batch.hasResult = make([]bool, len(batch.Batch.Items))
	batch.itemIndex = make(map[string]int, len(batch.Batch.Items))
	for i, item := range batch.Batch.Items {
		batch.itemIndex[item.ID] = i
	}
	for _, r := range batch.Results {
		batch.hasResult[r.Item] = true
	}
}

// snapshotState is the part of State that is encoded in a snapshot.
type snapshotState struct {
	Configuration *routes.Configuration `cbor:"1,keyasint,omitempty"`
	Versions      map[string]uint64     `cbor:"2,keyasint,omitempty"`
	Batches       []batchState          `cbor:"3,keyasint,omitempty"`
	Departures    []ServerIncarnation   `cbor:"4,keyasint,omitempty"`
	Retired       []string              `cbor:"5,keyasint,omitempty"`
	Servers       []fleet.Server        `cbor:"6,keyasint,omitempty"`
	Streams       []StreamBegin         `cbor:"7,keyasint,omitempty"`
	Limits        []ServerLimit         `cbor:"8,keyasint,omitempty"`
	Suspects      []CrashReport         `cbor:"9,keyasint,omitempty"`
	// Requires is the version of the state that a replica must understand to restore the snapshot.
	Requires       uint64            `cbor:"10,keyasint,omitempty"`
	MemberVersions map[uint64]uint64 `cbor:"11,keyasint,omitempty"`
	Usage          *usage.Ledger     `cbor:"12,keyasint,omitempty"`
	Uploads        map[string]pieces `cbor:"13,keyasint,omitempty"`
}

// State is the replicated state. Apply must be called from a single goroutine; the read methods are safe for
// concurrent use.
type State struct {
	texts         TextStore
	mu            sync.RWMutex
	configuration *routes.Configuration
	versions      map[string]uint64
	batches       map[string]*batchState
	batchOrder    []string // batch IDs in the order of acceptance
	departures    []ServerIncarnation
	servers       map[string]fleet.Server // by ID; needed to reach the servers after all VMs were restarted at once
	retired       map[string]bool
	streams       streamTable
	limits        map[string]ServerLimit // by server ID
	suspects      map[crashKey]CrashReport
	// requires is the highest version of the state that a command required so far.
	requires       uint64
	memberVersions map[uint64]uint64 // version of the state that a member understands, by instance number
	usage          *usage.Ledger     // nil until the first Usage command
	uploads        map[string]pieces // bodies whose batch is not yet submitted, by upload ID
	changed        chan struct{}     // closed and replaced on every change
	// OnApplied, if not nil, is called after each command, without holding the lock.
	OnApplied func(Command, Outcome)
	// OnFailure is called when a text cannot be stored, or when a command requires a newer build. It must be set and must
	// terminate the replica.
	OnFailure func(error)
	// ParseDocument parses an operator's document. It completes configurations that an earlier build parsed. It may be nil.
	ParseDocument func([]byte) (*routes.Configuration, error)
	// OnDocumentRejected is called if ParseDocument rejects a document that an earlier build accepted. It may be nil.
	OnDocumentRejected func(version uint64, err error)
}

// NewState returns an empty state that stores its texts in texts.
func NewState(texts TextStore) *State {
	return &State{texts: texts, versions: map[string]uint64{}, batches: map[string]*batchState{}, servers: map[string]fleet.Server{}, retired: map[string]bool{}, streams: newStreamTable(nil), limits: map[string]ServerLimit{}, suspects: map[crashKey]CrashReport{}, memberVersions: map[uint64]uint64{}, uploads: map[string]pieces{}, changed: make(chan struct{})}
}

var decMode = mustDecMode()

// maxDecodedElements bounds the arrays and maps in a decoded command or snapshot.
const maxDecodedElements = 1 << 20

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		IndefLength: cbor.IndefLengthForbidden, MaxArrayElements: maxDecodedElements, MaxMapPairs: maxDecodedElements,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// EncodeCommand encodes a command as the payload of a log entry.
func EncodeCommand(c Command) ([]byte, error) {
	data, err := cbor.Marshal(c)
	return data, errs.Wrap(err, errs.Internal, "report this fault", "cannot encode a command of the rollout state")
}

// DecodeOutcome decodes the return value of Apply.
func DecodeOutcome(data []byte) (Outcome, error) {
	var o Outcome
	err := decMode.Unmarshal(data, &o)
	return o, errs.Wrap(err, errs.Internal, "use the same version of filbertledge on all VMs", "cannot decode the outcome of a command of the rollout state")
}

// Apply applies a committed log entry to the state and returns the encoded Outcome.
func (s *State) Apply(_ uint64, data []byte) []byte {
	var c Command
	if err := decMode.Unmarshal(data, &c); err != nil {
		// Decoding is deterministic, so every replica rejects the entry and the replicas stay identical.
		return nil
	}
	if err := checkVersion(c.Requires, "a command"); err != nil {
		s.OnFailure(err)
		return nil
	}
	s.mu.Lock()
	s.requires = max(s.requires, c.Requires)
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
		return nil // unreachable: an Outcome can always be encoded
	}
	return result
}

func (s *State) apply(c Command) Outcome {
	switch {
	case c.Configure != nil:
		return s.setConfiguration(c.Configure)
	case c.Publish != nil:
		return s.publishVersion(*c.Publish)
	case c.Accept != nil:
		return s.acceptBatch(c.Accept)
	case len(c.Results) > 0:
		return s.storeResults(c.Results)
	case len(c.Progress) > 0:
		return s.storeProgress(c.Progress)
	case c.EndBatch != "":
		return s.endBatch(c.EndBatch)
	case c.Depart != nil:
		return s.recordDeparture(*c.Depart)
	case c.Return != nil:
		return s.returnServer(*c.Return)
	case c.Register != nil:
		return s.registerServer(*c.Register)
	case len(c.Unregister) > 0:
		return s.unregisterServers(c.Unregister)
	case len(c.DeleteBatches) > 0:
		return s.deleteBatches(c.DeleteBatches)
	case len(c.Limits) > 0:
		return s.storeLimits(c.Limits)
	case len(c.Suspects) > 0:
		return s.storeSuspects(c.Suspects)
	case c.BeginStream != nil:
		return Outcome{Changed: s.streams.add(*c.BeginStream), Found: true}
	case c.Retire != nil:
		s.retired[c.Retire.VM] = true
		return Outcome{Changed: true, Found: true}
	case c.MemberVersion != nil:
		s.memberVersions[c.MemberVersion.Member] = c.MemberVersion.Version
		return Outcome{Found: true}
	case c.Usage != nil:
		return s.changeUsage(c.Usage)
	case c.StoreBodies != nil:
		return s.storeBodies(c.StoreBodies)
	case len(c.DropUploads) > 0:
		for _, id := range c.DropUploads {
			delete(s.uploads, id)
		}
		return Outcome{Found: true}
	}
	return Outcome{}
}

// setConfiguration ignores versions that are not higher than the current one, because configurations may arrive
// repeatedly and out of order.
func (s *State) setConfiguration(c *routes.Configuration) Outcome {
	if s.configuration != nil && c.Version <= s.configuration.Version {
		return Outcome{Found: true}
	}
	s.configuration = s.complete(c)
	return Outcome{Changed: true, Found: true}
}

func (s *State) publishVersion(v ModelVersion) Outcome {
	if v.Version <= s.versions[v.Model] {
		return Outcome{Found: true}
	}
	s.versions[v.Model] = v.Version
	return Outcome{Changed: true, Found: true}
}

func (s *State) acceptBatch(b *Batch) Outcome {
	if s.batches[b.ID] != nil {
		delete(s.uploads, b.Upload)
		return Outcome{Found: true}
	}
	batch := &batchState{Batch: *b}
	if b.Upload != "" {
		batch.Bodies = s.uploads[b.Upload]
		delete(s.uploads, b.Upload)
		if batch.Bodies.bytes() != b.StoredBytes() {
			return Outcome{} // a part is missing: the upload was dropped
		}
	}
	batch.Batch.Items = slices.Clone(b.Items) // dropRequest modifies the items; the command must stay unchanged
	batch.buildIndexes()
	s.batches[b.ID] = batch
	s.batchOrder = append(s.batchOrder, b.ID)
	return Outcome{Changed: true, Found: true}
}

// storeResults stores the results of items. If an item already has a result, the first one is kept.
func (s *State) storeResults(list []BatchResult) Outcome {
	o := Outcome{Found: true}
	for _, r := range list {
		batch := s.batches[r.Batch]
		if batch == nil || r.Result.Item < 0 || r.Result.Item >= len(batch.hasResult) || batch.hasResult[r.Result.Item] {
			continue
		}
		text, ok := appendAt(batch.Partials[r.Result.Item].Text, r.Result.Offset, r.Result.Text)
		if !ok {
			continue // the leader assumed more committed text than there is; it resends the whole text
		}
		ref, err := s.texts.Append(text)
		if err != nil {
			s.OnFailure(err)
			return o
		}
		batch.hasResult[r.Result.Item] = true
		batch.Batch.Items[r.Result.Item].dropRequest()
		delete(batch.Partials, r.Result.Item)
		batch.Results = append(batch.Results, storedResult{Item: r.Result.Item, Completed: r.Result.Completed, Versions: r.Result.Versions, Ref: ref, Score: r.Result.Score})
		if len(batch.Results) == len(batch.hasResult) {
			batch.Bodies = nil
		}
		o.Changed = true
	}
	return o
}

// appendAt returns the first offset bytes of committed followed by text. It returns false if committed is shorter
// than offset.
func appendAt(committed []byte, offset int, text []byte) ([]byte, bool) {
	if offset > len(committed) {
		return nil, false
	}
	if offset == 0 {
		return text, true
	}
	return append(committed[:offset:offset], text...), true
}

func (s *State) storeProgress(list []Progress) Outcome {
	for _, p := range list {
		batch := s.batches[p.Batch]
		if batch == nil || batch.Ended || p.Item < 0 || p.Item >= len(batch.hasResult) || batch.hasResult[p.Item] {
			continue
		}
		text, ok := appendAt(batch.Partials[p.Item].Text, p.Offset, p.Text)
		if !ok {
			continue // the chunk would leave a gap; keep the shorter text
		}
		if batch.Partials == nil {
			batch.Partials = map[int]Partial{}
		}
		batch.Partials[p.Item] = Partial{Text: text, Events: p.Events, Versions: p.Versions, Complete: p.Complete, Software: p.Software}
	}
	return Outcome{Found: true}
}

func (s *State) endBatch(id string) Outcome {
	batch := s.batches[id]
	if batch == nil {
		return Outcome{}
	}
	changed := !batch.Ended
	batch.Ended = true
	batch.Partials, batch.Bodies = nil, nil
	for i := range batch.Batch.Items {
		batch.Batch.Items[i].dropRequest()
	}
	return Outcome{Changed: changed, Found: true}
}

func (s *State) deleteBatches(ids []string) Outcome {
	for _, id := range ids {
		delete(s.batches, id)
	}
	s.batchOrder = slices.DeleteFunc(s.batchOrder, func(id string) bool { return s.batches[id] == nil })
	return Outcome{Changed: true, Found: true}
}

// Snapshot syncs the texts to disk and encodes the state.
func (s *State) Snapshot() ([]byte, error) { return s.Capture()() }

// Capture copies the state without the texts. The returned function syncs the texts to disk and encodes the copy.
func (s *State) Capture() func() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	snap := snapshotState{
		Configuration: s.configuration, Versions: maps.Clone(s.versions),
		Departures: slices.Clone(s.departures), Retired: slices.Sorted(maps.Keys(s.retired)),
		Servers: s.sortedServers(), Streams: slices.Clone(s.streams.list), Limits: s.sortedLimits(), Suspects: s.sortedSuspects(),
		Requires: s.requires, MemberVersions: maps.Clone(s.memberVersions), Uploads: maps.Clone(s.uploads),
	}
	if s.usage != nil {
		snap.Usage = s.usage.Clone()
	}
	for _, id := range s.batchOrder {
		batch := s.batches[id]
		batchCopy := batchState{Batch: batch.Batch, Results: batch.Results[:len(batch.Results):len(batch.Results)], Ended: batch.Ended, Partials: maps.Clone(batch.Partials), Bodies: batch.Bodies}
		batchCopy.Batch.Items = slices.Clone(batch.Batch.Items)
		snap.Batches = append(snap.Batches, batchCopy)
	}
	return func() ([]byte, error) {
		if err := s.texts.Sync(); err != nil {
			return nil, err
		}
		return encodeSnapshot(snap)
	}
}

func encodeSnapshot(snap snapshotState) ([]byte, error) {
	data, err := cbor.Marshal(snap)
	return data, errs.Wrap(err, errs.Internal, "report this fault", "cannot encode the rollout state")
}

func decodeSnapshot(data []byte) (snapshotState, error) {
	var snap snapshotState
	err := decMode.Unmarshal(data, &snap)
	return snap, errs.Wrap(err, errs.StorageCorrupt, "replace the replica", "cannot decode a snapshot of the rollout state (%d bytes)", len(data))
}

// ReferencedSegments returns, for each segment that a snapshot refers to, the number of bytes from its start that
// are needed.
func ReferencedSegments(snapshot []byte) (map[uint64]int64, error) {
	snap, err := decodeSnapshot(snapshot)
	if err != nil {
		return nil, err
	}
	used := map[uint64]int64{}
	use := func(r blobs.Ref) { used[r.Segment] = max(used[r.Segment], r.Offset+int64(r.Length)) }
	for i := range snap.Batches {
		for _, r := range snap.Batches[i].Results {
			use(r.Ref)
		}
		snap.Batches[i].Bodies.forEach(use)
	}
	for _, bodies := range snap.Uploads {
		bodies.forEach(use)
	}
	delete(used, 0) // references to empty texts have segment 0
	return used, nil
}

// Restore replaces the state with a snapshot. The referenced segments must already be in the local text store.
func (s *State) Restore(data []byte) error {
	snap, err := decodeSnapshot(data)
	if err != nil {
		return err
	}
	if err := checkVersion(snap.Requires, "a snapshot"); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configuration, s.departures = s.complete(snap.Configuration), snap.Departures
	s.requires, s.memberVersions, s.usage = snap.Requires, snap.MemberVersions, snap.Usage
	if s.memberVersions == nil {
		s.memberVersions = map[uint64]uint64{}
	}
	if s.uploads = snap.Uploads; s.uploads == nil {
		s.uploads = map[string]pieces{}
	}
	s.versions, s.streams = snap.Versions, newStreamTable(snap.Streams)
	if s.versions == nil {
		s.versions = map[string]uint64{}
	}
	s.batches, s.batchOrder, s.retired = map[string]*batchState{}, nil, map[string]bool{}
	for i := range snap.Batches {
		batch := &snap.Batches[i]
		batch.buildIndexes()
		s.batches[batch.Batch.ID] = batch
		s.batchOrder = append(s.batchOrder, batch.Batch.ID)
	}
	for _, vm := range snap.Retired {
		s.retired[vm] = true
	}
	s.servers, s.limits = map[string]fleet.Server{}, map[string]ServerLimit{}
	for _, v := range snap.Servers {
		s.servers[v.ID] = v
	}
	for _, l := range snap.Limits {
		s.limits[l.Server] = l
	}
	s.suspects = map[crashKey]CrashReport{}
	for _, r := range snap.Suspects {
		s.suspects[r.key()] = r
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

// Compacted deletes segments that neither the current state nor the given snapshot of this replica refers to.
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
	use := func(r blobs.Ref) { used[r.Segment] = true }
	for _, batch := range s.batches {
		for _, r := range batch.Results {
			use(r.Ref)
		}
		batch.Bodies.forEach(use)
	}
	for _, bodies := range s.uploads {
		bodies.forEach(use)
	}
	s.mu.RUnlock()
	return s.texts.Retain(used)
}

// Changed returns a channel that is closed on the next change of the state.
func (s *State) Changed() <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.changed
}

// Configuration returns the current configuration, or nil if there is none.
func (s *State) Configuration() *routes.Configuration {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.configuration
}

// Versions returns the newest published weight version of each model.
func (s *State) Versions() map[string]uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return maps.Clone(s.versions)
}

// Departures returns the server incarnations that are leaving or have left, oldest first.
func (s *State) Departures() []ServerIncarnation {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return slices.Clone(s.departures)
}

// Retired returns the VMs whose retirement was requested.
func (s *State) Retired() map[string]bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return maps.Clone(s.retired)
}

// Page is a consecutive range of a batch's results.
type Page struct {
	Total   int      `cbor:"1,keyasint"`
	Next    int      `cbor:"2,keyasint"`
	Results []Result `cbor:"3,keyasint,omitempty"`
	IDs     []string `cbor:"4,keyasint,omitempty"` // item IDs, parallel to Results
	Ended   bool     `cbor:"5,keyasint,omitempty"`
}

// ReadResults returns the results of batch id from position after on, up to maxBytes. The page contains at least
// one result if any is available. found is false if the batch is unknown.
func (s *State) ReadResults(id string, after, maxBytes int) (p Page, found bool, err error) {
	stored, _, p, found := s.selectPage(id, after, maxBytes)
	for _, r := range stored {
		text, err := s.texts.Read(r.Ref)
		if err != nil {
			return Page{}, found, err
		}
		p.Results = append(p.Results, Result{Item: r.Item, Completed: r.Completed, Text: text, Versions: r.Versions, Score: r.Score})
	}
	return p, found, nil
}

// PageSize returns the approximate size in bytes of the page that ReadResults would return, and the page without its Results.
// The size is 0 if there are none.
func (s *State) PageSize(id string, after, maxBytes int) (size int, p Page, found bool) {
	_, size, p, found = s.selectPage(id, after, maxBytes)
	return size, p, found
}

// selectPage returns the stored results of a page, their size, and the page without its Results.
func (s *State) selectPage(id string, after, maxBytes int) (stored []storedResult, size int, p Page, found bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	batch := s.batches[id]
	if batch == nil {
		return nil, 0, Page{}, false
	}
	p = Page{Total: len(batch.Batch.Items), Next: after, Ended: batch.Ended}
	for i := max(after, 0); i < len(batch.Results); i++ {
		r := batch.Results[i]
		with := size + r.Ref.Length + resultOverheadBytes
		if with > maxBytes && len(stored) > 0 {
			break
		}
		size = with
		stored = append(stored, r)
		p.IDs = append(p.IDs, batch.Batch.Items[r.Item].ID)
		p.Next = i + 1
	}
	return stored, size, p, true
}

// resultOverheadBytes is the approximate encoded size of a result without its text.
const resultOverheadBytes = 128

// ItemBody returns the request body of an item of batch id. open is false if the item has a result, the batch has
// ended, or the item is unknown; found is false if the batch is unknown.
func (s *State) ItemBody(id, item string) (body Body, open, found bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	batch := s.batches[id]
	if batch == nil {
		return Body{}, false, false
	}
	i, ok := batch.itemIndex[item]
	if !ok || batch.Ended || batch.hasResult[i] {
		return Body{}, false, true
	}
	return s.bodyOf(batch, i), true, true
}

// OpenBatch is a copy of a batch that has not ended.
type OpenBatch struct {
	Batch     Batch
	HasResult []bool // by index in Batch.Items
	Partials  map[int]Partial
}

// OpenBatches returns the batches that have not ended, in the order of acceptance.
func (s *State) OpenBatches() []OpenBatch {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var out []OpenBatch
	for _, id := range s.batchOrder {
		if batch := s.batches[id]; !batch.Ended {
			open := OpenBatch{Batch: batch.Batch, HasResult: slices.Clone(batch.hasResult), Partials: maps.Clone(batch.Partials)}
			open.Batch.Items = slices.Clone(batch.Batch.Items)
			out = append(out, open)
		}
	}
	return out
}

// ExpiredBatches returns the IDs of ended batches that were submitted before the given time.
func (s *State) ExpiredBatches(before time.Time) []string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var out []string
	for _, id := range s.batchOrder {
		if batch := s.batches[id]; batch.Ended && batch.Batch.Submitted < before.UnixMilli() {
			out = append(out, id)
		}
	}
	return out
}
