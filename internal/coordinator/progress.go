package coordinator

import (
	"context"
	"slices"
	"time"

	"filbertledge/internal/rollout"
)

const (
	// progressInterval is the time between commits of the running items' texts. About this much work on each item is
	// lost when the leader fails.
	progressInterval = time.Second
	// maxProgressBytes limits one command with progress; the next one waits for its commit. Heartbeats queue behind a
	// command on a connection or a disk: the progress of one second, two megabytes, would take longer than the leader
	// lease on a disk that is 30 times slower than usual.
	maxProgressBytes = 64 << 10
	// resultBatchDelay is how long a result waits for others to share its commit. A commit costs the leader two messages
	// and their answers for each voter, and a step takes seconds.
	resultBatchDelay = 20 * time.Millisecond
	// resultRetryInterval is the time after which a failed commit of results is repeated.
	resultRetryInterval = heartbeatInterval
	// maxResultBytes limits one command with results.
	maxResultBytes = 256 << 10
)

// progressLoop commits the texts of running items periodically, so that the next leader continues from there. Each byte
// is committed once: the result of an item contains only the text that was not committed as progress.
func (s *session) progressLoop() {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
		s.commitProgress()
	}
}

// commitProgress commits the uncommitted texts in several commands, one after the other.
func (s *session) commitProgress() {
	tasks, restarts, list := s.collectProgress()
	for from := 0; from < len(list); {
		to := from + progressPartLength(list[from:])
		if !s.commitProgressPart(tasks[from:to], restarts[from:to], list[from:to]) {
			return
		}
		from = to
	}
}

// progressPartLength returns how many of the first entries of list go into one command, at least one.
func progressPartLength(list []rollout.Progress) int {
	size := 0
	for i := range list {
		size += len(list[i].Text)
		if i > 0 && size > maxProgressBytes {
			return i
		}
	}
	return len(list)
}

// commitProgressPart commits one command with progress and reports success.
func (s *session) commitProgressPart(tasks []*task, restarts []int, list []rollout.Progress) bool {
	ctx, cancel := context.WithTimeout(s.ctx, proposeTimeout)
	defer cancel()
	if _, err := s.node.propose(ctx, rollout.Command{Progress: list}); err != nil {
		s.node.opts.Events.Log().WithError(err).WithField("items", len(list)).Info("cannot commit progress; trying again later")
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, t := range tasks {
		// If the item has started again since, the committed text is not part of its current text.
		if t.restarts == restarts[i] {
			t.committedBytes = max(t.committedBytes, list[i].Offset+len(list[i].Text))
			t.completeCommitted = t.completeCommitted || list[i].Complete
		}
	}
	return true
}

// collectProgress returns the tasks with uncommitted text, the number of their restarts so far, and that text.
func (s *session) collectProgress() (tasks []*task, restarts []int, list []rollout.Progress) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.batchesByAge {
		for _, t := range b.tasks {
			if t.state == taskFinished || len(t.text) == t.committedBytes && t.textComplete == t.completeCommitted {
				continue
			}
			tasks, restarts = append(tasks, t), append(restarts, t.restarts)
			list = append(list, rollout.Progress{
				Batch: b.ID, Item: t.item, Offset: t.committedBytes, Text: slices.Clone(t.text[t.committedBytes:]), Events: t.events, Versions: t.versions, Complete: t.textComplete,
				Software: t.software,
			})
		}
	}
	return tasks, restarts, list
}

// resultLoop commits results, several at a time.
func (s *session) resultLoop() {
	for {
		select {
		case <-s.ctx.Done():
			return
		case first := <-s.results:
			s.commitResults(s.collectResults(first))
		}
	}
}

// collectResults waits for at most resultBatchDelay for more results that share the commit.
func (s *session) collectResults(first rollout.BatchResult) []rollout.BatchResult {
	list := []rollout.BatchResult{first}
	size := len(first.Result.Text)
	timer := time.NewTimer(resultBatchDelay)
	defer timer.Stop()
	for size < maxResultBytes {
		select {
		case r := <-s.results:
			list = append(list, r)
			size += len(r.Result.Text)
		case <-timer.C:
			return list
		}
	}
	return list
}

// commitResults repeats the proposal until it is committed or the leadership ends. This is safe, because a result that
// is already in the state keeps its position.
func (s *session) commitResults(list []rollout.BatchResult) {
	for s.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(s.ctx, proposeTimeout)
		_, err := s.node.propose(ctx, rollout.Command{Results: list})
		cancel()
		if err == nil {
			return
		}
		s.node.opts.Events.Log().WithError(err).WithField("results", len(list)).Warn("cannot commit results; trying again")
		sleep(s.ctx, resultRetryInterval)
	}
}
