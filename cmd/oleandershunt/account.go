package main

import (
	"os"
	"time"

	"oleandershunt.example/oleandershunt/internal/account"
)

// accountCommand adds up VMs' logs.
type accountCommand struct {
	Log  []string      `arg:"" type:"existingfile" help:"Logs of VMs. Before a line's JSON the second and the VM's name may stand."`
	Span time.Duration `default:"2s" help:"Length of a moment."`
	VMs  int           `name:"vms" default:"5" help:"How many VMs to list, those with most lines first."`
}

// Run implements the account command.
func (c *accountCommand) Run() error {
	sum := account.New(c.Span)
	for _, name := range c.Log {
		if err := c.read(sum, name); err != nil {
			return err
		}
	}
	return sum.Write(os.Stdout, c.VMs)
}

func (c *accountCommand) read(sum *account.Account, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	return sum.Read(file)
}
