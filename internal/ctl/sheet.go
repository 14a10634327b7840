package ctl

import (
	"encoding/hex"
	"errors"
	"fmt"
	"os"

	"github.com/balsamstall/balsamstall/internal/cli"
	"github.com/balsamstall/balsamstall/protocol/document"
	"github.com/balsamstall/balsamstall/protocol/index"
	"github.com/balsamstall/balsamstall/protocol/sheet"
)

// SheetCheckCommand is "balsam-ctl sheet check".
type SheetCheckCommand struct {
	File  string `arg:"" help:"Sheet file."`
	Index string `help:"Index file that is checked against the sheet." placeholder:"FILE"`
	jsonFlag
}

// Help implements kong.HelpProvider.
func (*SheetCheckCommand) Help() string {
	return "Example:\n\n  balsam-ctl sheet check sheet.json --index index.json\n\n" +
		"Each fault is printed with its path, its value and what is allowed. " + exitCodes
}

// checkResult is the JSON output of "sheet check" for one file.
type checkResult struct {
	File     string           `json:"file"`
	Valid    bool             `json:"valid"`
	Revision uint64           `json:"revision,omitempty"`
	Digest   string           `json:"digest,omitempty"`
	Faults   []document.Fault `json:"faults"`
}

// Run checks the files. It returns a *document.Error if one has faults.
func (c *SheetCheckCommand) Run(out cli.Output) error {
	results, err := c.check()
	var docErr *document.Error
	if err != nil && !errors.As(err, &docErr) {
		return err
	}
	if c.JSON {
		return errors.Join(err, out.JSON(results))
	}
	for _, r := range results {
		if r.Valid {
			fmt.Fprintf(out, "%s is valid: revision %d, digest %s\n", r.File, r.Revision, r.Digest)
		}
	}
	return err
}

// checkValueSize returns a *document.Error if the platform does not store a document because of its size.
func checkValueSize(kind string, data []byte) error {
	if len(data) <= document.MaxValueSize {
		return nil
	}
	return &document.Error{Kind: kind, Faults: []document.Fault{{
		Value:   fmt.Sprintf("%d bytes", len(data)),
		Allowed: fmt.Sprintf("at most %d bytes, the largest value of the platform", document.MaxValueSize),
	}}}
}

// check returns the results of the sheet and, if it has no faults, of the index.
func (c *SheetCheckCommand) check() ([]checkResult, error) {
	data, err := readDocument(c.File)
	if err != nil {
		return nil, err
	}
	s, err := sheet.Parse(data)
	if err == nil {
		err = checkValueSize("sheet", data)
	}
	if err != nil {
		return []checkResult{invalidResult(c.File, err)}, err
	}
	digest := sheet.Digest(data)
	results := []checkResult{{File: c.File, Valid: true, Revision: s.Revision, Digest: hex.EncodeToString(digest[:]), Faults: []document.Fault{}}}
	if c.Index == "" {
		return results, nil
	}
	if data, err = readDocument(c.Index); err != nil {
		return nil, err
	}
	d, err := index.Parse(data)
	if err == nil {
		err = checkValueSize("index", data)
	}
	if err == nil {
		if faults := d.CheckAgainst(s); len(faults) > 0 {
			err = &document.Error{Kind: "index", Faults: faults}
		}
	}
	if err != nil {
		return append(results, invalidResult(c.Index, err)), err
	}
	digest = index.Digest(data)
	return append(results, checkResult{File: c.Index, Valid: true, Revision: d.Revision, Digest: hex.EncodeToString(digest[:]), Faults: []document.Fault{}}), nil
}

// invalidResult returns the result for a file with faults. It sets the kind of document in err to
// the name of the file.
func invalidResult(file string, err error) checkResult {
	r := checkResult{File: file}
	var docErr *document.Error
	if errors.As(err, &docErr) {
		docErr.Kind = file
		r.Faults = docErr.Faults
	}
	return r
}

// readDocument returns the content of a file. It returns a *cli.UsageError if the file cannot be
// read.
func readDocument(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &cli.UsageError{Message: "cannot read the file: " + err.Error()}
	}
	return data, nil
}

// SheetDiffCommand is "balsam-ctl sheet diff".
type SheetDiffCommand struct {
	A string `arg:"" help:"Sheet in force."`
	B string `arg:"" help:"Sheet that replaces it."`
	jsonFlag
}

// Help implements kong.HelpProvider.
func (*SheetDiffCommand) Help() string {
	return "Example:\n\n  balsam-ctl sheet diff today.json tomorrow.json\n\n" +
		"The exit code is 0 whether or not the sheets differ. " + exitCodes
}

// Run prints the changes between the two sheets.
func (c *SheetDiffCommand) Run(out cli.Output) error {
	a, err := parseSheet(c.A)
	if err != nil {
		return err
	}
	b, err := parseSheet(c.B)
	if err != nil {
		return err
	}
	changes := DiffSheets(a, b)
	if c.JSON {
		if changes == nil {
			changes = []Change{}
		}
		return out.JSON(map[string][]Change{"changes": changes})
	}
	if len(changes) == 0 {
		fmt.Fprintln(out, "no changes")
	}
	for _, change := range changes {
		fmt.Fprintln(out, change)
	}
	return nil
}

// parseSheet reads a sheet file. A *document.Error names the file.
func parseSheet(path string) (*sheet.Sheet, error) {
	data, err := readDocument(path)
	if err != nil {
		return nil, err
	}
	s, err := sheet.Parse(data)
	var docErr *document.Error
	if errors.As(err, &docErr) {
		docErr.Kind = path
	}
	return s, err
}
