package relay

import (
	"cmp"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"oleandershunt.example/oleandershunt/internal/bootclock"
	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/poison"
	"oleandershunt.example/oleandershunt/internal/core/quarantine"
	"oleandershunt.example/oleandershunt/internal/telemetry"
)

const (
	// begunEvents is the number of events from which on a stream has begun: what it contains
	// doesn't end servers that begin to respond to it.
	begunEvents = 8
	// findingsDelay collects the findings of the same moment for one report.
	findingsDelay = 20 * time.Millisecond
	// answerWitnesses is the number of VMs that contradict another VM's loss under a part of prompts
	// that was answered.
	answerWitnesses = 3
)

func processOf(server backends.Server) quarantine.Process {
	return quarantine.Process{Address: server.Address, ID: processID(server.ID)}
}

// quarantineLoss records a server that was lost while it ran a request. unreached says that no VM
// reached a server of its service.
func (h *Handler) quarantineLoss(x *exchange, server backends.Server, at time.Duration, unreached bool) {
	begun := x.events >= begunEvents
	h.suspects.mu.Lock()
	defer h.suspects.mu.Unlock()
	for _, content := range x.contents {
		loss := x.lossUnder(content, processOf(server), at)
		if content.Part && (begun || loss.Trial == 0 && h.suspects.quarantine.AnsweredRecently(at, content)) {
			continue
		}
		finding := lossFinding(content, loss)
		finding.Begun, finding.Unreached = begun, unreached
		finding.Crashes = h.suspects.table.CrashCount(at, x.poison) + 1
		h.suspects.queueFinding(finding)
		if !begun {
			h.recordContentLoss(at, content, loss)
		}
	}
	h.publishSoon()
}

// lossUnder returns the loss of a process under one of the request's contents. A lost trial tells nothing
// more than any other loss about contents that it wasn't a trial of: all prompts may begin with one of them.
func (x *exchange) lossUnder(content quarantine.Content, process quarantine.Process, at time.Duration) quarantine.Loss {
	loss := quarantine.Loss{Process: process, At: at}
	if slices.Contains(x.onTrial, content) {
		loss.Trial, loss.Joint = x.trial, len(x.onTrial) > 1
	}
	return loss
}

// publishSoon has the pending findings sent to the other VMs at once. h.suspects.mu must be held.
func (h *Handler) publishSoon() {
	if h.OnFindings == nil || h.suspects.reporting {
		return
	}
	h.suspects.reporting = true
	time.AfterFunc(findingsDelay, func() {
		h.suspects.mu.Lock()
		h.suspects.reporting = false
		h.suspects.mu.Unlock()
		h.OnFindings()
	})
}

// recordContentLoss records a loss under content, found by this VM or another one. h.suspects.mu
// must be held.
func (h *Handler) recordContentLoss(now time.Duration, content quarantine.Content, loss quarantine.Loss) {
	before := h.suspects.quarantine.State(now, content)
	after := h.suspects.quarantine.RecordLoss(now, content, loss)
	if after <= before {
		return
	}
	losses := h.suspects.quarantine.Losses(now, content)
	if after == quarantine.Held {
		countContent("held")
		telemetry.ContentHeld.Log(h.Log, append(contentFields(content), "lost", describeLosses(losses))...)
		return
	}
	countContent("blocked")
	telemetry.ContentBlocked.Log(h.Log, append(contentFields(content), "lost", describeLosses(losses))...)
	if content.Part {
		h.keepBlock(now, content.Hash, blockedPart(content, losses))
		return
	}
	finding := poison.Finding{
		Body: bodyOf(content), Crashes: len(losses), Blocked: true,
		Server: loss.Process.Address, Incarnation: loss.Process.ID, At: now,
	}
	h.suspects.table.MergeFinding(now, finding)
	h.suspects.queueFinding(newTimedFinding(finding))
	h.keepBlock(now, content.Hash, []timedFinding{newTimedFinding(finding)})
}

// bodyOf returns the key of a whole body in the table of crashes.
func bodyOf(content quarantine.Content) poison.Body {
	return poison.Body{Account: content.Account, Pipeline: content.Path, Hash: content.Hash}
}

// answerFinding returns the finding that content was answered.
func answerFinding(at time.Duration, content quarantine.Content) timedFinding {
	return timedFinding{at: at, Finding: Finding{Account: content.Account, Path: content.Path, Part: content.Part, Answered: content.Hash}}
}

// lossFinding returns the finding on a loss under content.
func lossFinding(content quarantine.Content, loss quarantine.Loss) timedFinding {
	return timedFinding{at: loss.At, Finding: Finding{
		Account: content.Account, Path: content.Path, Hash: content.Hash, Part: content.Part, Suspected: true,
		Server: loss.Process.Address, Process: loss.Process.ID, Trial: loss.Trial, Joint: loss.Joint,
	}}
}

// mergeQuarantine applies another VM's finding, made at a time, to what is held back. h.suspects.mu
// must be held.
func (h *Handler) mergeQuarantine(now, at time.Duration, f Finding) {
	content := quarantine.Content{Account: f.Account, Path: f.Path, Hash: cmp.Or(f.Answered, f.Claimed, f.Hash), Part: f.Part}
	switch {
	case content.Hash == 0:
	case f.Claimed != 0:
		h.suspects.quarantine.RecordClaim(now, content, quarantine.Claim{Request: f.Trial, At: at})
	case f.Answered != 0:
		h.clearContent(now, content, at, "another VM's answer")
	case content.Part && f.Trial == 0 && h.suspects.quarantine.AnsweredRecently(now, content):
		h.contradictLoss(now, content)
	case f.Suspected && !f.Begun:
		h.recordContentLoss(now, content, quarantine.Loss{Process: quarantine.Process{Address: f.Server, ID: f.Process}, At: at, Trial: f.Trial, Joint: f.Joint})
	}
}

// contradictLoss tells the VMs that a part of prompts was answered, if this is one of the VMs that do.
// h.suspects.mu must be held.
func (h *Handler) contradictLoss(now time.Duration, content quarantine.Content) {
	position, count := h.Dispatcher.place()
	if count > answerWitnesses && (uint64(position)+content.Hash)%uint64(count) >= answerWitnesses {
		return
	}
	h.suspects.queueFinding(answerFinding(now, content))
}

// recordAnswer clears what a request contains that was answered: a popular request is in flight on
// every server that crashes.
func (h *Handler) recordAnswer(x *exchange) {
	h.suspects.mu.Lock()
	defer h.suspects.mu.Unlock()
	h.suspects.table.ClearSuspicionAndLosses(x.poison)
	h.clearContents(x)
}

// recordBegun clears what a stream contains once it has begun.
func (h *Handler) recordBegun(x *exchange) {
	if x.begun || x.events < begunEvents {
		return
	}
	h.suspects.mu.Lock()
	defer h.suspects.mu.Unlock()
	x.begun = true
	h.clearContents(x)
}

// clearContents clears a request's contents, and tells the other VMs of those that had losses.
// h.suspects.mu must be held.
func (h *Handler) clearContents(x *exchange) {
	now := bootclock.Now()
	for _, content := range x.contents {
		if h.clearContent(now, content, now, "answer") {
			h.suspects.queueFinding(answerFinding(now, content))
			h.publishSoon()
		}
	}
}

// clearContent removes the losses under content before a time, and reports whether there were any.
// h.suspects.mu must be held.
func (h *Handler) clearContent(now time.Duration, content quarantine.Content, at time.Duration, by string) bool {
	before, cleared := h.suspects.quarantine.RecordAnswer(now, content, at)
	if before != quarantine.Clear && h.suspects.quarantine.State(now, content) == quarantine.Clear {
		h.logCleared(content, by)
	}
	return cleared
}

// recordResponse records that a process responded to an attempt, so it has not ended before.
func (h *Handler) recordResponse(x *exchange, o *openAttempt, head ResponseInfo) {
	if head.ID != x.call.ID || o.response.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	h.suspects.mu.Lock()
	defer h.suspects.mu.Unlock()
	for _, content := range h.suspects.quarantine.RecordResponse(bootclock.Now(), processOf(o.sentTo.First), o.sentAt) {
		h.logCleared(content, "servers respond")
	}
}

func (h *Handler) logCleared(content quarantine.Content, by string) {
	countContent("cleared")
	telemetry.ContentCleared.Log(h.Log, append(contentFields(content), "by", by)...)
}

func countContent(decision string) {
	metrics.GetOrCreateCounter(`oleandershunt_relay_content_total{decision="` + decision + `"}`).Inc()
}

func contentFields(content quarantine.Content) []any {
	if content.Part {
		return []any{"service", content.Path, "part", formatParts([]uint64{content.Hash})}
	}
	return []any{"account", content.Account, "path", content.Path, "hash", content.Hash}
}

// describeLosses lists the addresses of lost servers, with "trial" after those lost in a trial.
func describeLosses(losses []quarantine.Loss) string {
	var list []string
	for _, loss := range losses {
		text := loss.Process.Address
		if loss.Trial != 0 {
			text += " trial"
		}
		list = append(list, text)
	}
	return strings.Join(list, ", ")
}
