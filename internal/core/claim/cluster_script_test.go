package claim_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"oleandershunt.example/oleandershunt/internal/core"
	"oleandershunt.example/oleandershunt/internal/core/claim"
)

// run executes one command.
func (c *cluster) run(line string) error {
	words := strings.Fields(line)
	arg := func(i int) string {
		if i < len(words) {
			return words[i]
		}
		return ""
	}
	switch words[0] {
	case "wait":
		duration, err := time.ParseDuration(arg(1))
		if err != nil {
			return err
		}
		c.now += duration
		for _, name := range c.names {
			c.step(name, claim.Tick{})
		}
	case "pump", "pump-vms", "pump-platform":
		c.deliverAll(words[0])
	case "deliver", "drop", "timeout", "duplicate":
		return c.handleMessage(words[0], arg(1))
	case "request":
		return c.addRequest(arg(1), arg(2), arg(3), arg(4))
	case "retry":
		c.sendClaim(arg(1), arg(2))
	case "peek":
		c.sendPeek(arg(1), arg(2), arg(3))
	case "settle":
		c.sendSettlement(arg(1), arg(2), arg(3))
	case "kill":
		c.restart(arg(1))
	case "pause":
		c.vms[arg(1)].paused = true
	case "resume":
		c.resume(arg(1))
	case "platform":
		c.platformDown = arg(1) == "down"
	case "cut":
		c.cut[arg(1)+arg(2)] = true
	case "heal":
		clear(c.cut)
	case "standbys":
		c.standbyCount, _ = strconv.Atoi(arg(1))
		for _, name := range c.names {
			c.restart(name)
		}
	case "delay-writes":
		c.delayedWriters[arg(1)] = true
	case "deliver-delayed":
		clear(c.delayedWriters)
		c.messages = append(c.messages, c.delayedWrites...)
		c.delayedWrites = nil
	case "mark-dead", "mark-live":
		c.markedDead[arg(1)] = words[0] == "mark-dead"
		c.sendLive()
	case "release":
		c.step(arg(1), claim.Release{})
	default:
		return c.checkExpectation(words)
	}
	return nil
}

// deliverAll delivers the messages in flight: all of them, those between VMs, or those
// from and to the platform.
func (c *cluster) deliverAll(scope string) {
	for range 200 {
		i := slices.IndexFunc(c.messages, func(m message) bool {
			withPlatform := m.from == platformName || m.to == platformName
			return scope == "pump" || withPlatform == (scope == "pump-platform")
		})
		if i < 0 {
			return
		}
		c.deliver(i)
	}
}

func (c *cluster) resume(name string) {
	m := c.vms[name]
	m.paused = false
	inbox := m.inbox
	m.inbox = nil
	for _, event := range inbox {
		c.step(name, event)
	}
}

// handleMessage delivers one message, drops it, lets its sender time out while it
// stays in flight, or delivers a copy of it.
func (c *cluster) handleMessage(operation, position string) error {
	i, err := strconv.Atoi(position)
	if err != nil || i >= len(c.messages) {
		return err
	}
	m := c.messages[i]
	switch operation {
	case "deliver":
		c.deliver(i)
	case "drop":
		c.messages = slices.Delete(c.messages, i, i+1)
		if m.onTimeout != nil {
			m.onTimeout()
		}
	case "timeout":
		c.messages[i].onTimeout = nil
		if m.onTimeout != nil {
			m.onTimeout()
		}
	case "duplicate":
		if c.reachable(m) {
			m.deliver()
		}
	}
	return nil
}

// addRequest adds a request with an id and a key on its entry VM, and sends its claim
// to a VM as the owner.
func (c *cluster) addRequest(id, key, vm, owner string) error {
	if _, exists := c.requests[id]; exists {
		return fmt.Errorf("request %s exists", id)
	}
	incarnation := c.vms[vm].self.Incarnation
	c.requests[id] = &request{key: key, vm: vm, state: "open", op: claim.Op{
		Kind: claim.OpClaim, Key: claim.HashKey(core.ClaimKey{Account: "growers", Key: key}), Body: 1,
		Request: claim.HashRequest(incarnation, id), Origin: claim.HashOrigin(incarnation),
	}}
	c.sendClaim(id, owner)
	return nil
}

// violated reports whether a key's request was dispatched more than once, or a peek
// reported the key as free after it had been dispatched.
func (c *cluster) violated() bool {
	if len(c.falseFree) > 0 {
		return true
	}
	for _, runs := range c.dispatches {
		if runs > 1 {
			return true
		}
	}
	return false
}

// checkExpectation compares an actual outcome with the expected one.
func (c *cluster) checkExpectation(words []string) error {
	var found string
	switch words[0] {
	case "expect-state":
		found = c.requests[words[1]].state
	case "expect-peek":
		for _, p := range c.peeks {
			if p.id == words[1] {
				found = p.verdict
			}
		}
	case "expect-runs":
		found = strconv.Itoa(c.dispatches[words[1]])
	case "expect-owner":
		found = strconv.FormatBool(c.vms[words[1]].shard.Owns())
	default:
		return fmt.Errorf("unknown command %q", words[0])
	}
	if found != words[2] {
		return fmt.Errorf("%s: found %s", strings.Join(words, " "), found)
	}
	return nil
}
