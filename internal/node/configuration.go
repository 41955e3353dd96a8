package node

import (
	"context"

	"github.com/oklog/run"

	"oleandershunt.example/oleandershunt/internal/actors"
	"oleandershunt.example/oleandershunt/internal/configuration"
	"oleandershunt.example/oleandershunt/internal/core"
	"oleandershunt.example/oleandershunt/internal/core/config"
	"oleandershunt.example/oleandershunt/internal/explain"
)

// addConfiguration applies the operators' records on this VM and serves them to
// other VMs.
func addConfiguration(group *run.Group, c *components) {
	explainer := explain.New(explain.Options{
		Log:       c.log,
		Self:      c.self.Name,
		Platform:  c.platform,
		Directory: c.directory,
		Dialer:    c.dialer,
		Journal:   c.journal,
	})
	explainer.Mount(c.peers)
	view := newStatusView(c.loop.Now, c.throughput.rates)
	c.loop.Handle(view.handle)
	manager := configuration.New(configuration.Options{
		Log:       c.log,
		Self:      c.self,
		Platform:  c.platform,
		Directory: c.directory,
		Dialer:    c.dialer,
		Seeds:     c.settings.Peers.Seeds,
		Extra:     []func(context.Context){explainer.Run},
		Sources:   []configuration.StatusSource{view},
		Apply: func(set *config.Set) {
			view.setConfig(set)
			c.applyConfig(set)
		},
	})
	manager.Mount(c.peers)
	actors.AddContext(group, manager.Run)
}

// applyConfig puts a configuration set in force for client requests, placement
// and the core, and publishes its release in this VM's directory entry.
func (c *components) applyConfig(set *config.Set) {
	c.entry.ApplyConfig(set)
	c.placement.Configure(set)
	c.loop.Post(core.ConfigInForce{Set: set})
	if self, ok := c.directory.Member(c.self.Name); ok {
		self.Release = set.Release
		c.directory.Put(self)
	}
}
