package fakeengine

import (
	"slices"
	"time"

	"martenlock/control"
)

// prefillOverheadTokens is added to the prompt of each prefill, as the cost of a short one.
const prefillOverheadTokens = 100

// scheduler decides which jobs an engine computes. Prefills, embeddings and rerank requests run one
// after another. Decodes run at once, up to the number of slots.
type scheduler struct {
	engine      *Engine
	prefills    []*job // the first is being computed
	prefilling  int    // jobs whose prefill is not complete, including those that a fault delays
	running     int    // jobs with a slot
	decodeQueue []*job // jobs that wait for a slot
}

// reset removes the jobs of an earlier process.
func (s *scheduler) reset() {
	s.prefills = nil
	s.prefilling = 0
	s.running = 0
	s.decodeQueue = nil
}

// dropQueue removes the jobs that wait for a slot. When the process ends, none must start as others
// release their slots.
func (s *scheduler) dropQueue() { s.decodeQueue = nil }

// waiting returns the number of jobs in prefill or waiting for it or for a slot.
func (s *scheduler) waiting() int { return s.prefilling + len(s.decodeQueue) }

// isFull reports whether no further job may wait.
func (s *scheduler) isFull() bool { return s.waiting() >= s.engine.Spec.MaxWaiting }

// add schedules a job.
func (s *scheduler) add(j *job) {
	if j.stage == control.RoleDecode {
		s.addDecode(j)
		return
	}
	j.isPrefilling = true
	s.prefilling++
	s.prefills = append(s.prefills, j)
	if len(s.prefills) == 1 {
		s.startPrefill()
	}
}

// startPrefill starts the first prefill, if there is one.
func (s *scheduler) startPrefill() {
	if len(s.prefills) == 0 {
		return
	}
	j := s.prefills[0]
	j.timer.Fire = func() { s.prefillComputed(j) }
	seconds := j.prefillTokens() / s.engine.Spec.PrefillTokensPerSecond / s.engine.speed()
	s.engine.cluster.loop.StartTimer(&j.timer, time.Duration(seconds*float64(time.Second)))
}

// prefillComputed starts the next prefill. It completes the current one, after the delay of a fault if
// there is one.
func (s *scheduler) prefillComputed(j *job) {
	s.prefills = s.prefills[1:]
	s.startPrefill()
	delay := s.engine.fault.PrefillDelay
	if delay > 0 {
		j.timer.Fire = j.completePrefill
		s.engine.cluster.loop.StartTimer(&j.timer, delay)
		return
	}
	j.completePrefill()
}

// endPrefill removes a job from those in prefill.
func (s *scheduler) endPrefill(j *job) {
	j.isPrefilling = false
	s.prefilling--
}

// addDecode gives a job a slot, or queues it if none is free.
func (s *scheduler) addDecode(j *job) {
	if s.running >= s.engine.Spec.DecodeSlots {
		s.decodeQueue = append(s.decodeQueue, j)
		return
	}
	s.startDecode(j)
}

// startDecode gives a job a free slot.
func (s *scheduler) startDecode(j *job) {
	j.hasSlot = true
	s.running++
	j.startDecode()
}

// releaseSlot gives the slot of a job to the next one in the queue.
func (s *scheduler) releaseSlot(j *job) {
	j.hasSlot = false
	s.running--
	if len(s.decodeQueue) == 0 {
		return
	}
	next := s.decodeQueue[0]
	s.decodeQueue = s.decodeQueue[1:]
	s.startDecode(next)
}

// withdraw removes a job from prefills and queue. It does nothing if the job is in neither.
func (s *scheduler) withdraw(j *job) {
	if j.isPrefilling {
		s.endPrefill(j)
		s.withdrawPrefill(j)
	}
	index := slices.Index(s.decodeQueue, j)
	if index >= 0 {
		s.decodeQueue = slices.Delete(s.decodeQueue, index, index+1)
	}
}

// withdrawPrefill removes a job from the prefills. If it was being computed, the next one starts.
func (s *scheduler) withdrawPrefill(j *job) {
	index := slices.Index(s.prefills, j)
	if index < 0 {
		return
	}
	s.prefills = slices.Delete(s.prefills, index, index+1)
	if index == 0 {
		s.startPrefill()
	}
}

// prefillTokens returns the cost of a job's prefill, in tokens.
func (j *job) prefillTokens() float64 { return j.request.PromptTokens + prefillOverheadTokens }
