package main

import (
	"fmt"
	"strings"

	"github.com/alecthomas/kong"
)

// completionCommand prints a completion script.
type completionCommand struct {
	Shell string `arg:"" enum:"bash,zsh,fish" help:"Shell: bash, zsh or fish."`
}

// Help implements kong.HelpProvider.
func (completionCommand) Help() string {
	return `Examples:

  source <(oleandershunt completion bash)
  oleandershunt completion fish > ~/.config/fish/completions/oleandershunt.fish`
}

// kindWords complete the argument of get and delete.
const kindWords = "models pipelines backendservers routes clientaccounts releases status"

// Run implements the completion command.
func (c *completionCommand) Run(parsed *kong.Context) error {
	commands := visibleCommands(parsed.Model.Node)
	switch c.Shell {
	case "fish":
		for _, command := range commands {
			fmt.Printf("complete -c oleandershunt -n __fish_use_subcommand -f -a %s -d %q\n", command.Name, command.Help)
			for _, flag := range command.Flags {
				fmt.Printf("complete -c oleandershunt -n '__fish_seen_subcommand_from %s' -l %s -d %q\n", command.Name, flag.Name, flag.Help)
			}
		}
	case "zsh":
		fmt.Println("autoload -U +X bashcompinit && bashcompinit")
		printBash(commands)
	default:
		printBash(commands)
	}
	return nil
}

func visibleCommands(node *kong.Node) []*kong.Node {
	var commands []*kong.Node
	for _, child := range node.Children {
		if !child.Hidden {
			commands = append(commands, child)
		}
	}
	return commands
}

func printBash(commands []*kong.Node) {
	names := make([]string, 0, len(commands))
	for _, command := range commands {
		names = append(names, command.Name)
	}
	fmt.Println("_oleandershunt() {")
	fmt.Println(`  local word="${COMP_WORDS[COMP_CWORD]}" command="${COMP_WORDS[1]}"`)
	fmt.Println(`  if [ "$COMP_CWORD" -eq 1 ]; then`)
	fmt.Printf("    COMPREPLY=($(compgen -W %q -- \"$word\"))\n    return\n  fi\n", strings.Join(names, " "))
	fmt.Println(`  case "$command" in`)
	for _, command := range commands {
		words := flagWords(command)
		if command.Name == "get" || command.Name == "delete" {
			words += " " + kindWords
		}
		fmt.Printf("    %s) COMPREPLY=($(compgen -W %q -- \"$word\") $(compgen -f -- \"$word\")) ;;\n", command.Name, words)
	}
	fmt.Println("  esac\n}\ncomplete -o filenames -F _oleandershunt oleandershunt")
}

func flagWords(command *kong.Node) string {
	words := make([]string, 0, len(command.Flags))
	for _, flag := range command.Flags {
		words = append(words, "--"+flag.Name)
	}
	return strings.Join(words, " ")
}
