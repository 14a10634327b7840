package inputs

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// settingsFile describes the settings file of a program.
type settingsFile struct {
	program string
	// args are the arguments before the path of the file.
	args []string
	// valid holds valid settings.
	valid map[string]any
	// numberField and textField are fields of these types. tooLarge is out of range for
	// numberField, and allowed is its range as the error message states it.
	numberField, textField string
	tooLarge               int64
	allowed                string
}

const testKey = "0123456789abcdef0123456789abcdef"

func settingsFiles() []settingsFile {
	return []settingsFile{
		{program: "balsam-entry", args: []string{"--config"}, valid: entrySettings("127.0.0.1:1"),
			numberField: "push_fanout", textField: "zone", tooLarge: 101, allowed: "a number from 0 to 100"},
		{program: "balsam-load", args: []string{"run", "--settings"}, valid: map[string]any{
			"entries":  []any{map[string]any{"id": "entry-1", "address": "127.0.0.1:1"}},
			"callers":  []any{map[string]any{"name": "asan-buyer", "workspace": "asan-toolroom", "key": "test"}},
			"workload": []any{map[string]any{"service": "quote-desk-1", "callers": []string{"asan-buyer"}, "weight": 1, "deadline_ms": 100, "contract_ms": 100, "min_ratio": 1}},
		}, numberField: "capacity_per_second", textField: "entries", tooLarge: 1_000_001, allowed: "a number from 0 to 1000000"},
		{program: "balsam-standin", args: []string{"target", "--config"}, valid: map[string]any{
			"targets": []any{map[string]any{"id": "t1", "address": "127.0.0.1:1", "zone": "az-1"}},
		}, numberField: "targets.slots", textField: "log_level", tooLarge: 10_001, allowed: "a number from 0 to 10000"},
		{program: "balsam-standin", args: []string{"platform", "--config"}, valid: map[string]any{"address": "127.0.0.1:1"},
			numberField: "calls_per_second", textField: "address", tooLarge: 1_000_001, allowed: "a number from 1 to 1000000"},
	}
}

func entrySettings(callerAddress string) map[string]any {
	return map[string]any{
		"id": "entry-1", "zone": "az-1", "caller_address": callerAddress, "admin_address": "127.0.0.1:0",
		"peer_address": "127.0.0.1:0", "platform_address": "127.0.0.1:1",
		"peer_key": testKey, "permit_key": testKey, "admin_key": testKey,
	}
}

// withField returns the valid settings with one field changed. The field "targets.slots" is the
// field "slots" of the first target.
func (f settingsFile) withField(field string, value any) string {
	settings := map[string]any{}
	for k, v := range f.valid {
		settings[k] = v
	}
	if list, inner, nested := strings.Cut(field, "."); nested {
		element := map[string]any{inner: value}
		for k, v := range f.valid[list].([]any)[0].(map[string]any) {
			element[k] = v
		}
		settings[list] = []any{element}
	} else {
		settings[field] = value
	}
	data, err := json.Marshal(settings)
	if err != nil {
		panic(err)
	}
	return string(data)
}

// Guards against a program that starts with a settings file that it cannot read completely, and
// against an error message without the file, the field, the value or what is allowed.
func TestFaultySettingsFiles(t *testing.T) {
	for _, f := range settingsFiles() {
		valid := f.withField("log_level", "info")
		if f.program == "balsam-load" {
			valid = f.withField("capacity_per_second", 1)
		}
		for _, c := range []struct {
			input, content string
			want           []string
		}{
			{"not JSON", "id: entry-1", []string{"valid JSON", "at byte 1"}},
			{"empty file", "", []string{"valid JSON"}},
			{"cut off file", valid[:len(valid)-3], []string{"valid JSON"}},
			{"unknown field", f.withField("colour", "red"), []string{`field "colour"`, "a field that the program knows"}},
			{"wrong type, text for a number", f.withField(f.numberField, "many"), []string{f.numberField, `"many"`, "an integer", "number"}},
			{"wrong type, number for a text or list", f.withField(f.textField, 4711), []string{f.textField, "4711", "text", "list"}},
			{"value out of range", f.withField(f.numberField, f.tooLarge), []string{f.numberField[strings.Index(f.numberField, ".")+1:], fmt.Sprint(f.tooLarge), f.allowed}},
			{"number beyond 64 bits", strings.Replace(f.withField(f.numberField, 424242), "424242", "1e400", 1), []string{f.numberField, "1e400", "number", "an integer"}},
			{"deeply nested", strings.Repeat("[", 70_000), []string{"nested deeper than 64"}},
			{"data after the object", valid + " {}", []string{"end of file"}},
		} {
			t.Run(f.program+"/"+f.args[0]+"/"+c.input, func(t *testing.T) {
				is := is.New(t)
				path := writeFile(t, "settings.json", c.content)
				code, out := runProgram(t, nil, f.program, append(f.args, path)...)
				logTableRow(t, path, f.program+" "+strings.Join(f.args, " "), c.input, fmt.Sprintf("%d: %s", code, out))
				is.Equal(code, 2)
				is.True(strings.Contains(out, path)) // The message names the file.
				checkWords(t, out, c.want)
			})
		}
		for _, c := range []struct{ input, path, want string }{
			{"missing file", filepath.Join(t.TempDir(), "none.json"), "no such file"},
			{"directory as file", t.TempDir(), "is a directory"},
		} {
			t.Run(f.program+"/"+f.args[0]+"/"+c.input, func(t *testing.T) {
				is := is.New(t)
				code, out := runProgram(t, nil, f.program, append(f.args, c.path)...)
				logTableRow(t, c.path, f.program+" "+strings.Join(f.args, " "), c.input, fmt.Sprintf("%d: %s", code, out))
				is.Equal(code, 2)
				is.True(strings.Contains(out, c.path))
				is.True(strings.Contains(out, c.want))
			})
		}
	}
}

// Guards against bounds on memory that leave no room for a single request, or none for the rest of the
// program.
func TestFaultyMemorySettings(t *testing.T) {
	f := settingsFiles()[0]
	for _, c := range []struct {
		field string
		value int
		want  string
	}{
		{"held_bytes_mb", 15, "a number from 16 to 128"},
		{"held_bytes_mb", 129, "a number from 16 to 128"},
		{"memory_mb", 31, "a number from 32 to 1048576"},
	} {
		t.Run(fmt.Sprintf("%s=%d", c.field, c.value), func(t *testing.T) {
			is := is.New(t)
			path := writeFile(t, "settings.json", f.withField(c.field, c.value))
			code, out := runProgram(t, nil, f.program, append(f.args, path)...)
			logTableRow(t, path, f.program+" "+strings.Join(f.args, " "), fmt.Sprintf("%s %d", c.field, c.value), fmt.Sprintf("%d: %s", code, out))
			is.Equal(code, 2)
			checkWords(t, out, []string{c.field, fmt.Sprint(c.value), c.want})
		})
	}
}

// checkWords checks that out contains all words. If there are four, one of the last two suffices,
// because fields have types with different names.
func checkWords(t *testing.T, out string, want []string) {
	t.Helper()
	all, either := want, []string(nil)
	if len(want) == 4 {
		all, either = want[:2], want[2:]
	}
	for _, w := range all {
		if !strings.Contains(out, w) {
			t.Errorf("the message does not name %q:\n%s", w, out)
		}
	}
	if either != nil && !strings.Contains(out, either[0]) && !strings.Contains(out, either[1]) {
		t.Errorf("the message says neither %q nor %q:\n%s", either[0], either[1], out)
	}
}

// Guards against an error message that reveals a secret: a key that is too short or has the wrong
// type.
func TestFaultyKeysAreNotShown(t *testing.T) {
	for field, value := range map[string]any{"peer_key": "too-short-secret", "admin_key": 987654321} {
		is := is.New(t)
		set := entrySettings("127.0.0.1:1")
		set[field] = value
		data, err := json.Marshal(set)
		is.NoErr(err)
		code, out := runProgram(t, nil, "balsam-entry", "--config", writeFile(t, "settings.json", string(data)))
		is.Equal(code, 2)
		is.True(strings.Contains(out, field))
		is.True(!strings.Contains(out, fmt.Sprint(value)))
	}
}

// Guards against arguments that are ignored or interpreted by guessing.
func TestFaultyArguments(t *testing.T) {
	valid := func(f settingsFile) string { return writeFile(t, "settings.json", f.withField(f.numberField, 1)) }
	files := settingsFiles()
	entry, loadFile, target, platform := valid(files[0]), valid(files[1]), valid(files[2]), valid(files[3])
	sheet := demoFile("sheet.json")
	none := filepath.Join(t.TempDir(), "none.json")
	notJSON := writeFile(t, "sheet.json", "revision: 1")
	unknown := writeFile(t, "sheet.json", `{"revision": 1, "colour": "red"}`)
	wrongType := writeFile(t, "sheet.json", `{"revision": "first"}`)
	trailing := writeFile(t, "sheet.json", readFile(t, sheet)+"{}")
	outOfRange := writeFile(t, "sheet.json", strings.Replace(readFile(t, sheet), `"priority": 1`, `"priority": 12`, 1))
	admin := []string{"BALSAM_ADMIN_KEY=" + testKey, "BALSAM_CALLER_KEY=" + testKey}
	for _, c := range []struct {
		input string
		args  string
		want  []string
	}{
		{"missing argument", "balsam-entry", []string{"--config"}},
		{"unknown argument", "balsam-entry --config " + entry + " --colour=red", []string{"--colour"}},
		{"data after the arguments", "balsam-entry --config " + entry + " extra", []string{"extra"}},
		{"missing argument", "balsam-standin target", []string{"--config"}},
		{"missing command", "balsam-standin", []string{"target", "platform"}},
		{"unknown command", "balsam-standin proxy", []string{"proxy"}},
		{"unknown argument", "balsam-standin target --config " + target + " --colour=red", []string{"--colour"}},
		{"data after the arguments", "balsam-standin platform --config " + platform + " extra", []string{"extra"}},
		{"missing argument", "balsam-load run", []string{"--settings"}},
		{"unknown argument", "balsam-load run --settings " + loadFile + " --colour=red", []string{"--colour"}},
		{"data after the arguments", "balsam-load run --settings " + loadFile + " extra", []string{"extra"}},
		{"unknown shape", "balsam-load run --settings " + loadFile + " --shape square", []string{"--shape", "square", "steady"}},
		{"wrong type", "balsam-load run --settings " + loadFile + " --rate many", []string{"--rate", "many"}},
		{"value out of range", "balsam-load run --settings " + loadFile + " --rate=-1", []string{"--rate", "-1", "above 0"}},
		{"value out of range", "balsam-load run --settings " + loadFile + " --duration 2h", []string{"--duration", "2h", "1h"}},
		{"unknown scenario", "balsam-load bench --off " + demoFile("load.json") + " --on " + demoFile("load.json") + " --scenarios storm", []string{"storm", "steady"}},
		{"missing command", "balsam-ctl", []string{"sheet", "status"}},
		{"unknown command", "balsam-ctl restart", []string{"restart"}},
		{"missing argument", "balsam-ctl sheet check", []string{"<file>"}},
		{"unknown argument", "balsam-ctl sheet check " + sheet + " --colour=red", []string{"--colour"}},
		{"data after the arguments", "balsam-ctl sheet check " + sheet + " extra", []string{"extra"}},
		{"missing file", "balsam-ctl sheet check " + none, []string{none, "no such file"}},
		{"directory as file", "balsam-ctl sheet check " + filepath.Dir(none), []string{filepath.Dir(none), "is a directory"}},
		{"not JSON", "balsam-ctl sheet check " + notJSON, []string{notJSON, "JSON"}},
		{"unknown field", "balsam-ctl sheet check " + unknown, []string{unknown, "colour"}},
		{"wrong type", "balsam-ctl sheet check " + wrongType, []string{wrongType, "revision", "integer"}},
		{"value out of range", "balsam-ctl sheet check " + outOfRange, []string{outOfRange, "priority", "12", "from 1 to 9"}},
		{"data after the object", "balsam-ctl sheet check " + trailing, []string{trailing, "nothing after it"}},
		{"faulty index", "balsam-ctl sheet check " + sheet + " --index " + unknown, []string{unknown, "colour"}},
		{"missing file", "balsam-ctl sheet diff " + sheet + " " + none, []string{none, "no such file"}},
		{"unknown field", "balsam-ctl sheet diff " + sheet + " " + unknown, []string{unknown, "colour"}},
		{"missing argument", "balsam-ctl status", []string{"--entry"}},
		{"host name as address", "balsam-ctl status --entry localhost:1", []string{"localhost:1", "IP:port"}},
		{"value out of range", "balsam-ctl status --entry 127.0.0.1:1 --timeout=-1s", []string{"--timeout", "-1s", "above 0"}},
		{"wrong type", "balsam-ctl status --entry 127.0.0.1:1 --timeout=soon", []string{"--timeout", "soon"}},
		{"missing key file", "balsam-ctl status --entry 127.0.0.1:1 --key-file " + none, []string{none, "no such file"}},
		{"unknown kind of event", "balsam-ctl audit --entry 127.0.0.1:1 --kind sheet_accepted", []string{"--kind", "sheet_accepted", "document_accepted"}},
		{"value out of range", "balsam-ctl audit --entry 127.0.0.1:1 --limit=-1", []string{"--limit", "-1", "negative"}},
		{"missing argument", "balsam-ctl drain", []string{"--entry"}},
		{"missing argument", "balsam-ctl query --entry 127.0.0.1:1", []string{"--service"}},
		{"value out of range", "balsam-ctl query --entry 127.0.0.1:1 --service s --deadline=0s q", []string{"--deadline", "0s", "1ms"}},
	} {
		fields := strings.Fields(c.args)
		t.Run(fields[0]+"/"+c.input, func(t *testing.T) {
			is := is.New(t)
			code, out := runProgram(t, admin, fields[0], fields[1:]...)
			command := shortenPaths(c.args)
			logTableRow(t, "", command, c.input, fmt.Sprintf("%d: %s", code, shortenPaths(out)))
			is.Equal(code, 2)
			for _, w := range c.want {
				if !strings.Contains(out, w) {
					t.Errorf("%s: the message does not name %q:\n%s", command, w, out)
				}
			}
		})
	}
}

// shortenPaths replaces absolute paths by their last elements.
func shortenPaths(text string) string {
	words := strings.Split(text, " ")
	for i, w := range words {
		if strings.HasPrefix(w, "/") {
			words[i] = filepath.Base(w)
			if strings.HasSuffix(w, ":") && !strings.HasSuffix(words[i], ":") {
				words[i] += ":"
			}
		}
	}
	return strings.Join(words, " ")
}

func demoFile(name string) string {
	path, err := filepath.Abs(filepath.Join("..", "..", "examples", "demo", name))
	if err != nil {
		panic(err)
	}
	return path
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// Guards against a program that hangs, or exits with the status of a usage error, when another
// process uses its address: supervisors restart after status 1 but not after status 2.
func TestAddressInUse(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	address := lis.Addr().String()
	entry, err := json.Marshal(entrySettings(address))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ program, command, content string }{
		{"balsam-entry", "", string(entry)},
		{"balsam-standin", "target", fmt.Sprintf(`{"targets":[{"id":"t1","zone":"a","address":%q}]}`, address)},
		{"balsam-standin", "platform", fmt.Sprintf(`{"address":%q}`, address)},
	} {
		t.Run(c.program+"/"+c.command, func(t *testing.T) {
			is := is.New(t)
			path := writeFile(t, "settings.json", c.content)
			code, out := runProgram(t, nil, c.program, append(strings.Fields(c.command), "--config", path)...)
			logTableRow(t, path, strings.TrimSpace(c.program+" "+c.command), "address in use", fmt.Sprintf("%d: %s", code, out))
			is.Equal(code, 1)
			is.True(strings.Contains(out, address))
			is.True(strings.Contains(out, "address already in use"))
		})
	}
}
