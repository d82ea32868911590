package rollout

// RequestBytes returns the size of the requests that are kept in memory until the items have ended, in bytes.
func (b *Batch) RequestBytes() int64 {
	total := 0
	for i := range b.Items {
		total += b.Items[i].requestBytes()
	}
	return int64(total)
}

func (i *Item) requestBytes() int {
	total := len(i.Path) + len(i.Body)
	for _, h := range i.Headers {
		total += len(h.Name) + len(h.Value)
	}
	if i.Scorer != nil {
		total += len(i.Scorer.Path) + len(i.Scorer.Body)
	}
	return total
}

// OpenRequestBytes returns the size of the requests that the state keeps, in bytes, and whether it holds the batch.
func (s *State) OpenRequestBytes(batch string) (total int64, known bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, b := range s.batches {
		if !b.Ended {
			total += b.Batch.RequestBytes()
		}
	}
	return total, s.batches[batch] != nil
}

// StoredBodyBytes returns the size of the bodies that the state keeps in the TextStore, in bytes, and whether it holds the
// batch.
func (s *State) StoredBodyBytes(batch string) (total int64, known bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, b := range s.batches {
		total += b.Bodies.bytes()
	}
	return total, s.batches[batch] != nil
}

// BatchWorkspace returns the workspace that owns a batch, empty if none does, and whether the state holds the batch.
func (s *State) BatchWorkspace(batch string) (workspace string, found bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	b := s.batches[batch]
	if b == nil {
		return "", false
	}
	return b.Batch.Workspace, true
}
