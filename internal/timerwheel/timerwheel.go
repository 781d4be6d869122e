// Package timerwheel is a hierarchical timing wheel: six levels of 64 slots, where one slot of a level
// spans the whole level below it (Varghese and Lauck, "Hashed and hierarchical timing wheels", SOSP
// 1987, scheme 7). Starting and stopping a timer take constant time and allocate nothing, however many
// timers are running.
//
// A Wheel reads no clock. Its owner passes the time to Advance, in ticks of any length, and may sleep
// until NextDeadline. A Wheel and its timers are not safe for concurrent use.
package timerwheel

import "math/bits"

const (
	slotBits      = 6 // 64 slots per level, one for each bit of a uint64
	slotsPerLevel = 1 << slotBits
	slotMask      = slotsPerLevel - 1
	levels        = 6
	// Span is the largest distance in ticks that a wheel covers. A timer that is farther ahead is inserted
	// at this distance, and inserted again when the wheel gets there.
	Span = 1<<(slotBits*levels) - 1
)

// noLevel is the level of a timer that Advance has removed from its slot.
const noLevel = -1

// Timer is a timer of a Wheel. Its owner must not move or copy it while it runs. The zero Timer is
// stopped.
type Timer struct {
	next, previous *Timer // in the list of the slot
	when           uint64 // tick
	level          int8   // noLevel after Advance has removed the timer from its slot
	slot           int8
	running        bool
	// Fire is called by Advance after the timer has stopped. It may start and stop this and other
	// timers. It must be set before the timer starts.
	Fire func()
}

// Running reports whether the timer was started and has neither fired nor been stopped.
func (t *Timer) Running() bool { return t.running }

// When returns the tick at which the timer fires. It is meaningless for a stopped timer.
func (t *Timer) When() uint64 { return t.when }

// Wheel holds running timers. The zero Wheel is empty and at tick 0.
type Wheel struct {
	now      uint64                        // tick
	count    int                           // running timers
	occupied [levels]uint64                // one bit for each slot that has a timer
	heads    [levels][slotsPerLevel]*Timer // doubly linked lists
	expired  []*Timer                      // timers of the slot that Advance processes; kept to reuse its memory
}

// Len returns the number of running timers.
func (w *Wheel) Len() int { return w.count }

// Now returns the current tick of the wheel. During Advance it is the tick at which the current slot
// starts, and otherwise the latest tick that Advance was called with.
func (w *Wheel) Now() uint64 { return w.now }

// Start sets a timer to fire at a tick. If the timer is running, the tick replaces the earlier one. A
// timer for the current or a past tick fires at the next tick.
func (w *Wheel) Start(t *Timer, when uint64) {
	w.Stop(t)
	t.when = when
	t.running = true
	w.count++
	w.insert(t)
}

// insert puts a running timer into the slot of its tick.
func (w *Wheel) insert(t *Timer) {
	tick := min(max(t.when, w.now+1), w.now+Span)
	// The level is that of the highest bit in which tick and now differ. A bit above the top level also
	// gives the top level, whose slots wrap around.
	highestBit := bits.Len64((w.now^tick)|slotMask) - 1
	level := min(highestBit/slotBits, levels-1)
	slot := tick >> (level * slotBits) & slotMask
	head := w.heads[level][slot]
	t.level = int8(level)
	t.slot = int8(slot)
	t.previous = nil
	t.next = head
	if head != nil {
		head.previous = t
	}
	w.heads[level][slot] = t
	w.occupied[level] |= 1 << slot
}

// Stop stops a timer, so that it does not fire. It has no effect on a stopped timer.
func (w *Wheel) Stop(t *Timer) {
	if !t.running {
		return
	}
	t.running = false
	w.count--
	if t.level != noLevel {
		w.remove(t)
	}
}

// remove removes a timer from its slot.
func (w *Wheel) remove(t *Timer) {
	if t.next != nil {
		t.next.previous = t.previous
	}
	if t.previous != nil {
		t.previous.next = t.next
	} else {
		w.heads[t.level][t.slot] = t.next
		if t.next == nil {
			w.occupied[t.level] &^= 1 << t.slot
		}
	}
	t.next = nil
	t.previous = nil
}

// occupiedSlot is a slot that has a timer.
type occupiedSlot struct {
	level, slot int
	start       uint64 // tick at which the slot begins
}

// firstSlot returns the earliest occupied slot. It returns false if no slot is occupied.
func (w *Wheel) firstSlot() (first occupiedSlot, ok bool) {
	for level := range levels {
		if w.occupied[level] == 0 {
			continue
		}
		shift := level * slotBits
		current := int(w.now >> shift & slotMask)
		// The search starts after the current slot, which therefore comes last. Only in the top level can
		// the current slot have timers, and these are a whole revolution ahead.
		ahead := 1 + bits.TrailingZeros64(bits.RotateLeft64(w.occupied[level], -current-1))
		return occupiedSlot{
			level: level,
			slot:  (current + ahead) & slotMask,
			start: (w.now>>shift + uint64(ahead)) << shift,
		}, true
	}
	return occupiedSlot{}, false
}

// NextDeadline returns a tick before which no timer fires. It returns false if no timer is running. The
// first timer may fire later than that tick, which is the start of its slot: in the higher levels a slot
// spans many ticks.
func (w *Wheel) NextDeadline() (uint64, bool) {
	first, ok := w.firstSlot()
	return first.start, ok
}

// Advance moves the wheel to a tick, fires all timers up to that tick, slot by slot in order of time,
// and returns how many fired. A timer that Fire starts for the current or a past tick fires one tick
// later. Otherwise a timer that always starts itself again would keep Advance from returning.
func (w *Wheel) Advance(now uint64) (fired int) {
	for {
		first, ok := w.firstSlot()
		if !ok || first.start > now {
			break
		}
		w.now = max(first.start, w.now)
		w.takeSlot(first.level, first.slot)
		fired += w.fireExpired()
	}
	w.now = max(w.now, now)
	return fired
}

// takeSlot moves the timers of a slot to w.expired.
func (w *Wheel) takeSlot(level, slot int) {
	w.expired = w.expired[:0]
	for t := w.heads[level][slot]; t != nil; t = t.next {
		w.expired = append(w.expired, t)
	}
	w.heads[level][slot] = nil
	w.occupied[level] &^= 1 << slot
	for _, t := range w.expired {
		t.next = nil
		t.previous = nil
		t.level = noLevel
	}
}

// fireExpired fires the timers of w.expired that are due and inserts the others again. It returns how
// many fired.
func (w *Wheel) fireExpired() (fired int) {
	for i, t := range w.expired {
		w.expired[i] = nil
		switch {
		case !t.running || t.level != noLevel: // another timer's Fire has stopped it or started it again
		case t.when > w.now:
			w.insert(t)
		default:
			t.running = false
			w.count--
			fired++
			t.Fire()
		}
	}
	return fired
}
