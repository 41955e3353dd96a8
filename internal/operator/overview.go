package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"oleandershunt.example/oleandershunt/api"
)

// The states of a backend server that are in order: nothing speaks against it,
// or it leaves as somebody asked.
const (
	stateLive    = "live"
	stateLeaving = "leaving"
)

// Overview answers whether the deployment is healthy, what is degraded and what
// is being done about it.
type Overview struct {
	Healthy bool `json:"healthy"`
	// Degraded lists what is wrong, a line each, worst first.
	Degraded      []string                  `json:"degraded,omitempty"`
	Release       api.Release               `json:"-"`
	Configuration api.ConfigurationStatus   `json:"configuration"`
	Pipelines     []api.PipelineStatus      `json:"pipelines,omitempty"`
	Servers       []api.BackendServerStatus `json:"backendServers,omitempty"`
	Placement     []api.PlacementStatus     `json:"placement,omitempty"`
}

// Overview reads the status records.
func (c *Client) Overview(ctx context.Context) (Overview, error) {
	var overview Overview
	if _, err := c.Object(ctx, api.KindRelease, api.ReleaseName, &overview.Release); err != nil {
		return overview, err
	}
	objects, err := c.Objects(ctx, api.KindStatus, "")
	if err != nil {
		return overview, err
	}
	for _, object := range objects {
		if err := overview.take(object.Name, object.Value); err != nil {
			return overview, err
		}
	}
	overview.joinRepairs()
	overview.judge()
	return overview, nil
}

func (o *Overview) take(name string, value json.RawMessage) error {
	switch {
	case name == api.StatusConfiguration:
		return json.Unmarshal(value, &o.Configuration)
	case strings.HasPrefix(name, api.StatusPipelinePrefix):
		var status api.PipelineStatus
		err := json.Unmarshal(value, &status)
		o.Pipelines = append(o.Pipelines, status)
		return err
	case strings.HasPrefix(name, api.StatusPlacementPrefix):
		var status api.PlacementStatus
		err := json.Unmarshal(value, &status)
		o.Placement = append(o.Placement, status)
		return err
	case strings.HasPrefix(name, api.StatusServerPrefix):
		var status api.BackendServerStatus
		err := json.Unmarshal(value, &status)
		o.Servers = append(o.Servers, status)
		return err
	}
	return nil
}

// joinRepairs tells of each pipeline what is being changed at the servers of its model.
func (o *Overview) joinRepairs() {
	for i, pipeline := range o.Pipelines {
		for _, placement := range o.Placement {
			for _, change := range placement.Changes {
				if change.Model != "" && change.Model == pipeline.Model {
					o.Pipelines[i].Repairing = append(o.Pipelines[i].Repairing, placement.DataCentre+": "+change.What)
				}
			}
		}
	}
}

// listed writes ranges of layers one after another.
func listed(layers []api.Layers) string {
	texts := make([]string, 0, len(layers))
	for _, l := range layers {
		texts = append(texts, l.String())
	}
	return strings.Join(texts, " ")
}

// repairs counts the servers at which something is done about a pipeline.
func repairs(pipeline api.PipelineStatus) string {
	if len(pipeline.Repairing) == 0 {
		return ""
	}
	return fmt.Sprintf("; servers being changed: %d", len(pipeline.Repairing))
}

// judge fills in what is degraded.
func (o *Overview) judge() {
	add := func(format string, args ...any) { o.Degraded = append(o.Degraded, fmt.Sprintf(format, args...)) }
	status := o.Configuration
	if o.Release.Sequence == 0 {
		add("no release yet: write records with `oleandershunt apply -f FILE`")
	}
	for _, pipeline := range o.Pipelines {
		if len(pipeline.Missing) > 0 {
			add("pipeline %s can't answer: no server holds layers %s%s", pipeline.Pipeline, listed(pipeline.Missing), repairs(pipeline))
		}
		if pipeline.Disconnected {
			add("pipeline %s can't answer: lost links part the servers that hold its layers", pipeline.Pipeline)
		}
	}
	for _, violation := range status.Standing {
		add("%s", violation.Error())
	}
	if behind := status.Release.VMs - status.Release.InForce; behind > 0 {
		add("release %d is not in force on %d of %d VMs", status.Release.Sequence, behind, status.Release.VMs)
	}
	for _, server := range o.Servers {
		if server.State != stateLive && server.State != stateLeaving {
			add("backend server %s is %s", server.BackendServer, server.State)
		}
	}
	if status.Refused > 0 {
		add("records refused: %d; what was in force stays", status.Refused)
	}
	if status.Pending > 0 {
		add("records pending until all VMs can read them: %d", status.Pending)
	}
	for _, pipeline := range o.Pipelines {
		if len(pipeline.SingleCopy) > 0 && len(pipeline.Missing) == 0 {
			add("pipeline %s: layers %s have one copy only%s", pipeline.Pipeline, listed(pipeline.SingleCopy), repairs(pipeline))
		}
	}
	o.Healthy = len(o.Degraded) == 0
}
