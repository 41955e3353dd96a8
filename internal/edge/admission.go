package edge

import (
	"encoding/json"
	"net/http"

	"oleandershunt.example/oleandershunt/internal/bootclock"
	"oleandershunt.example/oleandershunt/internal/core/vmlimits"
	"oleandershunt.example/oleandershunt/internal/relay"
)

// AdmissionPath is the path of the admission state on the operations port.
const AdmissionPath = "/admission"

// AdmissionPage is the response at AdmissionPath.
type AdmissionPage struct {
	VM         string       `json:"vm"`
	DataCentre string       `json:"dataCentre"`
	Limits     VMLimitsPage `json:"limits"`
	relay.AdmissionState
}

// VMLimitsPage are this VM's own limits and its usage.
type VMLimitsPage struct {
	// Saturated is set while new requests are refused: for Resource, since SaturatedMS.
	Saturated   bool              `json:"saturated"`
	Resource    vmlimits.Resource `json:"resource,omitempty"`
	SaturatedMS int64             `json:"saturatedMs,omitempty"`
	// LeavesRotation is set while the health check fails for that.
	LeavesRotation bool  `json:"leavesRotation"`
	TimerDelayMS   int64 `json:"timerDelayMs"`
	// Cores, LinkMbps, MemoryMB and Descriptors are the limits; 0 is none.
	Cores       float64 `json:"cores"`
	LinkMbps    float64 `json:"linkMbps"`
	MemoryMB    float64 `json:"memoryMB"`
	Descriptors int     `json:"maxDescriptors"`
	// Usage are fractions of the limits by resource.
	Usage map[vmlimits.Resource]float64 `json:"usage"`
}

// admissionHandler serves the state that decides on admission.
func admissionHandler(s Settings, dispatcher *relay.Dispatcher, saturation *saturationMonitor) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		page := AdmissionPage{VM: s.VM, DataCentre: s.DataCentre, Limits: saturation.page(), AdmissionState: dispatcher.Admission()}
		w.Header().Set("Content-Type", "application/json")
		// A write error means that the client has disconnected.
		_ = json.NewEncoder(w).Encode(page)
	}
}

// page returns the VM's limits and usage.
func (m *saturationMonitor) page() VMLimitsPage {
	state, limits := m.state(), m.settings().Limits
	page := VMLimitsPage{
		Saturated: state.Saturated, LeavesRotation: m.leavesRotation(), TimerDelayMS: state.Usage.TimerDelay.Milliseconds(),
		Cores: limits.Cores, LinkMbps: limits.LinkMbps, MemoryMB: limits.MemoryMB, Descriptors: limits.Descriptors,
		Usage: make(map[vmlimits.Resource]float64),
	}
	if state.Saturated {
		page.Resource, page.SaturatedMS = state.Resource, (bootclock.Now() - state.Since).Milliseconds()
	}
	for _, resource := range vmlimits.Resources() {
		page.Usage[resource] = state.Usage.Of(resource)
	}
	return page
}
