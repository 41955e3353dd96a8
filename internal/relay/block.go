package relay

import (
	"time"

	"oleandershunt.example/oleandershunt/internal/bootclock"
	"oleandershunt.example/oleandershunt/internal/core/poison"
	"oleandershunt.example/oleandershunt/internal/core/quarantine"
)

// blockWriters is the number of VMs that keep a block: all VMs learn of it at the same moment.
const blockWriters = 3

// Block is content that crashes servers, with the findings from which a VM that starts knows it again.
type Block struct {
	// ID identifies the content.
	ID       uint64
	Findings []Finding
}

// keepBlock has blocked content kept, if this is one of the VMs that do.
func (h *Handler) keepBlock(now time.Duration, id uint64, findings []timedFinding) {
	position, _ := h.Dispatcher.place()
	if h.OnBlocked == nil || position >= blockWriters {
		return
	}
	block := Block{ID: id}
	for _, finding := range findings {
		block.Findings = append(block.Findings, finding.aged(now))
	}
	h.OnBlocked(block)
}

// keepBlocked has a body kept that the table of crashes has blocked.
func (h *Handler) keepBlocked(finding poison.Finding) {
	if finding.Blocked {
		h.keepBlock(bootclock.Now(), finding.Body.Hash, []timedFinding{newTimedFinding(finding)})
	}
}

// blockedPart returns the findings that block a part of prompts.
func blockedPart(content quarantine.Content, losses []quarantine.Loss) []timedFinding {
	var findings []timedFinding
	for _, loss := range losses {
		findings = append(findings, lossFinding(content, loss))
	}
	return findings
}
