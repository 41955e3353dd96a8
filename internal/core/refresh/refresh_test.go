package refresh_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/refresh"
)

const (
	applyTime = 2 * time.Second
	// tick is the step of the simulation, and delay the time that a message takes.
	tick  = 5 * time.Millisecond
	delay = 10 * time.Millisecond
	// largeReadTime and readTime are what a read takes at the two largest VMs, which rank first,
	// and at a VM with a fifth of a core, and readTimeout what it takes to fail if the platform is
	// silent.
	largeReadTime = 60 * time.Millisecond
	readTime      = 200 * time.Millisecond
	readTimeout   = 900 * time.Millisecond
	queryReserve  = 300 * time.Millisecond
)

// fault is what is wrong with a VM.
type fault int

const (
	sound fault = iota
	// refused: the platform refuses this VM's reads. silent: it doesn't answer them.
	refused
	silent
	// frozen: the VM stands still.
	frozen
)

// node is a VM of one data centre.
type node struct {
	rank     int
	schedule refresh.Schedule
	provenAt time.Duration
	version  int
	fault    fault
	// step is what the VM is doing, since begun, until ends; a read has the version that it
	// will return. A wait at another VM has an answer from answerAt on.
	step     refresh.Step
	busy     bool
	begun    time.Duration
	ends     time.Duration
	read     state
	answer   state
	answerAt time.Duration
	// reads and queries count those of the platform and of other VMs.
	reads, queries int
}

// state is a version and its proof.
type state struct {
	version  int
	provenAt time.Duration
}

// centre is a data centre without I/O, whose clock the test controls.
type centre struct {
	now     time.Duration
	nodes   []*node
	version int
	// away is set while the platform refuses everyone.
	away bool
}

func newCentre(vms int) *centre {
	c := &centre{now: time.Minute, version: 1}
	for rank := range vms {
		n := &node{rank: rank, provenAt: c.now - time.Duration(rank%7)*tick, version: 1}
		n.schedule.SetApplyTime(applyTime)
		c.nodes = append(c.nodes, n)
	}
	return c
}

// run plays the data centre for a time.
func (c *centre) run(span time.Duration) {
	for end := c.now + span; c.now < end; c.now += tick {
		for _, n := range c.nodes {
			if n.fault != frozen {
				c.play(n)
			}
		}
	}
}

func (c *centre) play(n *node) {
	if !n.busy {
		c.begin(n)
		return
	}
	switch n.step.Action {
	case refresh.Read:
		if c.now >= n.ends {
			failed := n.read.version == 0
			if !failed {
				n.learn(n.read)
			}
			n.schedule.ReadEnded(n.begun, failed)
			n.busy = false
		}
	case refresh.Follow:
		c.follow(n)
	case refresh.Wait:
		n.busy = c.now < n.step.Until
	}
}

func (c *centre) begin(n *node) {
	n.step = n.schedule.Next(c.now, n.provenAt, refresh.Position{Rank: n.rank, VMs: len(c.nodes)})
	n.busy, n.begun, n.answerAt = true, c.now, 0
	if n.step.Action == refresh.Follow {
		n.queries++
	}
	if n.step.Action != refresh.Read {
		return
	}
	n.reads++
	n.read, n.ends = state{c.version, c.now}, c.now+readTime
	if n.rank < 2 {
		n.ends = c.now + largeReadTime
	}
	switch {
	case n.fault == silent:
		n.read, n.ends = state{}, c.now+readTimeout
	case n.fault == refused || c.away:
		n.read, n.ends = state{}, c.now+delay
	}
}

// follow plays a wait at another VM, which answers once it has something new or the wait ends.
func (c *centre) follow(n *node) {
	source := c.nodes[n.step.Source]
	renewed := source.provenAt >= n.provenAt+refresh.MinRenewal
	if n.answerAt == 0 && source.fault != frozen && c.now >= n.begun+delay && (source.version > n.version || renewed || c.now >= n.step.Until) {
		n.answer, n.answerAt = state{source.version, source.provenAt}, c.now+delay
	}
	timedOut := c.now >= min(n.step.Until+queryReserve, n.step.Deadline)
	if !timedOut && (n.answerAt == 0 || c.now < n.answerAt) {
		return
	}
	before := n.provenAt
	if n.answerAt > 0 && c.now >= n.answerAt {
		n.learn(n.answer)
	}
	n.schedule.FollowEnded(c.now, n.provenAt >= before+refresh.MinRenewal)
	n.busy = false
}

func (n *node) learn(s state) {
	if s.version >= n.version {
		n.version, n.provenAt = s.version, max(n.provenAt, s.provenAt)
	}
}

// applied returns how long after a change that is written now the last sound VM has it.
func (c *centre) applied(within time.Duration) time.Duration {
	written := c.now
	c.version++
	for c.now < written+within {
		c.run(tick)
		late := false
		for _, n := range c.nodes {
			late = late || n.fault == sound && n.version < c.version
		}
		if !late {
			return c.now - written
		}
	}
	return within
}

// hopsOf are the sizes of data centres whose last VM is one, two and three hops from the reader.
var hopsOf = map[int]int{1: 12, 2: 60, 3: 300}

func expectInTime(t *testing.T, vms int, harm func(c *centre)) {
	g := NewWithT(t)
	worst := time.Duration(0)
	for phase := time.Duration(0); phase < applyTime; phase += 95 * time.Millisecond {
		c := newCentre(vms)
		c.run(5*time.Second + phase)
		harm(c)
		worst = max(worst, c.applied(2*applyTime))
	}
	t.Logf("%d VMs: %s at most", vms, worst)
	const sum = time.Duration(refresh.LastOwnAge*float64(applyTime)) + readTime + 4*tick
	g.Expect(worst).To(BeNumerically("<=", sum))
	g.Expect(sum).To(BeNumerically("<", applyTime))
}

// Guards against a change that is in force late because the VMs that read for others are lost, cut
// off from the platform or stand still, at one, two and three hops.
func TestChangeIsInForceInTimeWhateverReadersFail(t *testing.T) {
	for hops, vms := range hopsOf {
		for name, f := range map[string]fault{"sound": sound, "refused": refused, "silent": silent, "frozen": frozen} {
			for _, readers := range []int{1, 2, 3, 5} {
				t.Run(fmt.Sprintf("%d hops, %d readers %s", hops, readers, name), func(t *testing.T) {
					expectInTime(t, vms, func(c *centre) {
						for _, n := range c.nodes[:readers] {
							n.fault = f
						}
					})
				})
			}
		}
	}
}

// Guards against VMs that are late because they wait after failed reads: all are turned away by the
// platform for a while, the readers for longer.
func TestChangeIsInForceInTimeAfterAnOutage(t *testing.T) {
	for hops, vms := range hopsOf {
		for _, readers := range []int{0, 1, 3} {
			t.Run(fmt.Sprintf("%d hops, %d readers", hops, readers), func(t *testing.T) {
				expectInTime(t, vms, func(c *centre) {
					c.away = true
					c.run(4 * time.Second)
					c.away = false
					for _, n := range c.nodes[:readers] {
						n.fault = refused
					}
				})
			})
		}
	}
}

// Guards against reads and queries that grow faster than the number of VMs: in calm times one VM
// reads, and each other one makes a query for each read; while the reader alone can't read one more
// does.
func TestFewVMsRead(t *testing.T) {
	for _, vms := range hopsOf {
		g := NewWithT(t)
		c := newCentre(vms)
		c.run(4 * time.Second)
		reads := func() (sum int) {
			for _, n := range c.nodes {
				sum, n.reads = sum+n.reads, 0
			}
			return sum
		}
		reads()
		for _, n := range c.nodes {
			n.queries = 0
		}
		c.run(18 * time.Second)
		g.Expect(reads()).To(BeNumerically("~", 20, 1), "every 0.9 s")
		for _, n := range c.nodes[1:] {
			g.Expect(n.queries).To(BeNumerically("~", 20, 2), "rank %d", n.rank)
		}
		c.nodes[0].fault = refused
		c.run(4 * time.Second)
		reads()
		c.run(18 * time.Second)
		failed := c.nodes[0].reads
		g.Expect(reads()-failed).To(BeNumerically("~", 20, 5), "by the VM ranked next, hardly more than before")
		g.Expect(failed).To(BeNumerically("<=", 36), "half a second between two reads")
	}
}

// Guards against thousands of billed calls while the platform is unavailable.
func TestFewReadsDuringAnOutage(t *testing.T) {
	g := NewWithT(t)
	c := newCentre(195)
	c.run(4 * time.Second)
	for _, n := range c.nodes {
		n.reads = 0
	}
	c.away = true
	c.run(8 * time.Second)
	sum := 0
	for _, n := range c.nodes {
		sum += n.reads
	}
	t.Logf("%d reads", sum)
	g.Expect(sum).To(BeNumerically("<", 3100/2))
}

// Guards against a VM that starts with an old configuration of another VM and goes on with it.
func TestOldProofIsReplacedAtOnce(t *testing.T) {
	g := NewWithT(t)
	for _, rank := range []int{0, 1, 5, 40} {
		var s refresh.Schedule
		s.SetApplyTime(applyTime)
		step := s.Next(time.Minute, time.Minute-applyTime, refresh.Position{Rank: rank, VMs: 41})
		g.Expect(step.Action).To(Equal(refresh.Read), "rank %d", rank)
	}
}
