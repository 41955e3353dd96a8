package node

import (
	"context"

	"oleandershunt.example/oleandershunt/internal/entry"
	"oleandershunt.example/oleandershunt/internal/settings"
	"oleandershunt.example/oleandershunt/internal/telemetry"
)

func callerLimits(s settings.Settings) entry.Limits {
	limits := entry.DefaultLimits()
	limits.BodyBytes = s.Callers.BodyBytes
	limits.BodyTime = s.Callers.BodyTime
	limits.HeaderBytes = s.Callers.HeaderBytes
	limits.HeaderTime = s.Callers.HeaderTime
	limits.WriteTime = s.Callers.WriteTime
	limits.TokenSilence = s.Requests.TokenSilence
	limits.SilenceFloor = s.Engines.SilenceFloor
	limits.FirstToken = s.Engines.FirstToken
	limits.ProbeTime = s.Engines.ProbeTime
	return limits
}

// startTracing exports spans to the endpoint of the settings, if one is set, and
// flushes the remaining ones during a planned stop.
func (c *components) startTracing() error {
	t := c.settings.Tracing
	if t.Endpoint == "" {
		return nil
	}
	vm := c.settings.VM
	shutdown, err := telemetry.StartTracing(context.Background(), t.Endpoint, t.Share, vm.Name, vm.DataCentre)
	if err != nil {
		return err
	}
	c.drain.OnDrain(func(ctx context.Context) { _ = shutdown(ctx) })
	return nil
}
