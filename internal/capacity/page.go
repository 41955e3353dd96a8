package capacity

import (
	"fmt"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrNoMarkers marks a page without the place for a table.
var ErrNoMarkers = eris.New("page lacks the markers of a table: restore the lines <!-- NAME --> and <!-- end NAME -->")

// Replace puts a table between a page's lines <!-- name --> and <!-- end name -->.
func Replace(page, name, table string) (string, error) {
	begin := fmt.Sprintf("<!-- %s -->\n", name)
	end := fmt.Sprintf("<!-- end %s -->", name)
	before, rest, ok := strings.Cut(page, begin)
	if !ok {
		return "", eris.Wrap(ErrNoMarkers, name)
	}
	_, after, ok := strings.Cut(rest, end)
	if !ok {
		return "", eris.Wrap(ErrNoMarkers, name)
	}
	return before + begin + table + end + after, nil
}

// Render brings all tables of the page up to date.
func Render(page string, measured Measurements, size Size) (string, error) {
	for _, section := range Sections(size) {
		figures := make([]Figure, 0, len(section.Rows))
		for _, row := range section.Rows {
			figure, err := row.Work(measured)
			if err != nil {
				return "", eris.Wrapf(err, "%s, %s", row.Role, row.Figure)
			}
			figures = append(figures, figure)
		}
		table := Table(figures)
		if section.Sum != "" {
			table += section.sum(figures)
		}
		var err error
		if page, err = Replace(page, section.Name, table); err != nil {
			return "", err
		}
	}
	return page, nil
}

// Section is one table of the page.
type Section struct {
	// Name is the table's marker in the page.
	Name string
	Rows []Row
	// Sum is the label of a last line which adds the results up. Empty for none.
	Sum string
	// Budget bounds the sum. 0 means that nobody set one.
	Budget float64
}

func (s Section) sum(figures []Figure) string {
	var value, low, high float64
	for _, f := range figures {
		value += f.Value
		low += f.Low
		high += f.High
	}
	verdict := "within"
	if value > s.Budget {
		verdict = "**over**"
	}
	return fmt.Sprintf("\n%s: **%s %s** (%s to %s), %s the budget of %s.\n",
		s.Sum, number(value), figures[0].Result, number(low), number(high), verdict, number(s.Budget))
}
