package fakeengine

import (
	"slices"
	"time"

	"martenlock/control"
)

// prefillOverheadTokens is the fixed cost of a prefill, in tokens.
const prefillOverheadTokens = 100

// scheduler decides which jobs an engine computes. Prefills, embeddings and rerank requests run one
// after another. Decodes run concurrently, up to the number of slots.
type scheduler struct {
	engine      *Engine
	prefills    []*job // prefills to compute; the first one is in progress
	prefilling  int    // number of incomplete prefills, including computed ones that a fault delays
	running     int    // number of jobs with a decode slot
	decodeQueue []*job // jobs that wait for a decode slot
}

// reset removes the jobs of the previous process.
func (s *scheduler) reset() {
	s.prefills = nil
	s.prefilling = 0
	s.running = 0
	s.decodeQueue = nil
}

// clearDecodeQueue removes the jobs that wait for a slot. It must be called before the end of the process
// cancels the running jobs, whose slots would otherwise go to the waiting jobs.
func (s *scheduler) clearDecodeQueue() { s.decodeQueue = nil }

// waiting returns the number of jobs in prefill, or waiting for prefill or a decode slot.
func (s *scheduler) waiting() int { return s.prefilling + len(s.decodeQueue) }

// isFull reports whether MaxWaiting is reached.
func (s *scheduler) isFull() bool { return s.waiting() >= s.engine.Spec.MaxWaiting }

func (s *scheduler) add(j *job) {
	if j.stages == control.RoleDecode {
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

// startPrefill starts the first prefill of the queue, if there is one.
func (s *scheduler) startPrefill() {
	if len(s.prefills) == 0 {
		return
	}
	j := s.prefills[0]
	j.timer.Fire = func() { s.prefillComputed(j) }
	seconds := j.prefillTokens() / s.engine.Spec.PrefillTokensPerSecond / s.engine.speed()
	s.engine.cluster.loop.StartTimer(&j.timer, time.Duration(seconds*float64(time.Second)))
}

// prefillComputed starts the next prefill and completes the current one. A fault's PrefillDelay postpones
// the completion.
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

// endPrefill removes a job from the count of incomplete prefills.
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

// startDecode gives a job a free slot and starts its decode.
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

// remove removes a job from the prefills and the decode queue. It does nothing if the job is in neither.
func (s *scheduler) remove(j *job) {
	if j.isPrefilling {
		s.endPrefill(j)
		s.removePrefill(j)
	}
	index := slices.Index(s.decodeQueue, j)
	if index >= 0 {
		s.decodeQueue = slices.Delete(s.decodeQueue, index, index+1)
	}
}

// removePrefill removes a job from the prefills. If its prefill was in progress, the next one starts.
func (s *scheduler) removePrefill(j *job) {
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
