package edge

import (
	"encoding/json"

	"oleandershunt.example/oleandershunt/internal/relay"
	"oleandershunt.example/oleandershunt/internal/telemetry"
)

// findingStore holds the findings on request bodies that crash servers.
type findingStore interface {
	Findings() []relay.Finding
	ReceiveFinding(finding relay.Finding)
}

// encodeFindings returns the findings for a process that has started; nil without any. Gossip keeps only
// the last report of each VM, so such a process would let a blocked body crash servers again.
func (t *tallyExchanger) encodeFindings() []byte {
	if t.findings == nil {
		return nil
	}
	findings := t.findings.Findings()
	if len(findings) == 0 {
		return nil
	}
	data, err := json.Marshal(findings)
	if err != nil {
		panic(err) // findings can always be encoded
	}
	return data
}

// receiveFindings applies findings of another VM.
func (t *tallyExchanger) receiveFindings(vm string, data []byte) {
	if len(data) == 0 || t.findings == nil {
		return
	}
	var findings []relay.Finding
	if err := json.Unmarshal(data, &findings); err != nil {
		telemetry.PeerUnread.Fail(t.log, err, "vm", vm)
		return
	}
	for _, finding := range findings {
		t.findings.ReceiveFinding(finding)
	}
}
