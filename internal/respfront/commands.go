package respfront

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"elderyard/internal/resp"
)

// level is the version of the published command set that INFO and HELLO name, since
// clients choose by it what to send. It is not this product's.
const level = "7.0.0"

type replies = resp.Writer

// command is one entry of the table.
type command struct {
	name    string
	arity   int // as published: the words with the name; below 0: at least so many
	limit   bool
	summary string
	run     func(s *session, args []string)
}

// table lists all commands. A function, since handlers look it up.
func table() []command { return commands }

var commands []command

// The table refers to handlers that refer to it.
func init() {
	commands = []command{
		{"AUTH", -2, false, "Says who the client is.", auth},
		{"CL.THROTTLE", -5, true, "Takes units of an account: limited, limit, remaining, retry after, reset after.", throttle},
		{"CLIENT", -2, false, "Names the connection, and tells its number and name.", clientCommand},
		{"COMMAND", -1, false, "Lists the commands.", commandCommand},
		{"ECHO", 2, false, "Says what it is told.", func(s *session, a []string) { s.w().Bulk(a[1]); s.said() }},
		{"HELLO", -1, false, "Chooses the version of the protocol, and may say who the client is.", hello},
		{"INFO", -1, false, "Tells what this is and what it has done.", info},
		{"LIMIT.GIVE", -5, true, "Gives back units of a take that named a token.", limitGive},
		{"LIMIT.PEEK", -2, true, "Tells what is left of an account's quota, as known here.", limitPeek},
		{"LIMIT.PLAN", -2, true, "Tells the figures of an account's plan.", limitPlan},
		{"LIMIT.STATS", 1, true, "Counts takes, refusals and gives.", limitStats},
		{"LIMIT.TAKE", -3, true, "Takes units of an account's quota.", limitTake},
		{"PING", -1, false, "Says PONG, or what it is told.", ping},
		{"QUIT", -1, false, "Ends the connection.", func(s *session, _ []string) { s.w().Simple("OK"); s.said(); s.ending = true }},
		{"RESET", 1, false, "Forgets who the client is, its name and version.", reset},
		{"SELECT", 2, false, "Chooses database 0, the only one.", selectCommand},
	}
}

// find returns the command of a name in upper case, or nil.
func find(name string) *command {
	all := table()
	at, is := slices.BinarySearchFunc(all, name, func(c command, name string) int { return strings.Compare(c.name, name) })
	if !is {
		return nil
	}
	return &all[at]
}

// dispatch runs one command, or answers why not.
func (s *session) dispatch(args []string) {
	name := strings.ToUpper(args[0])
	c := find(name)
	switch {
	case s.user == nil && len(s.front.users) > 0 && name != "AUTH" && name != "HELLO" && name != "QUIT" && name != "RESET":
		s.fail("NOAUTH Authentication required.")
	case c == nil:
		s.fail(fmt.Sprintf("ERR unknown command '%.64s'", args[0]))
	case c.arity >= 0 && len(args) != c.arity, len(args) < -c.arity:
		s.fail(fmt.Sprintf("ERR wrong number of arguments for '%s' command", strings.ToLower(name)))
	case c.limit && !s.user.may(name):
		s.fail(fmt.Sprintf("NOPERM this user has no permissions to run the '%s' command", strings.ToLower(name)))
	default:
		c.run(s, args)
	}
}

func ping(s *session, args []string) {
	switch len(args) {
	case 1:
		s.w().Simple("PONG")
		s.said()
	case 2:
		s.w().Bulk(args[1])
		s.said()
	default:
		s.fail("ERR wrong number of arguments for 'ping' command")
	}
}

// login is AUTH's part, of HELLO as well. It has answered if it returns false.
func (s *session) login(name, password string) bool {
	if len(s.front.users) == 0 {
		s.fail("ERR AUTH called without any user configured")
		return false
	}
	u := s.front.users.find(name, password)
	if u == nil {
		s.front.refused.Add(1)
		s.fail("WRONGPASS invalid username-password pair or user is disabled.")
		return false
	}
	s.user = u
	return true
}

func auth(s *session, args []string) {
	name, password := "default", args[1]
	switch len(args) {
	case 2:
	case 3:
		name, password = args[1], args[2]
	default:
		s.fail("ERR syntax error")
		return
	}
	if s.login(name, password) {
		s.w().Simple("OK")
		s.said()
	}
}

func hello(s *session, args []string) {
	version, name, named, known := s.version, "", false, s.user
	if len(args) > 1 {
		n, err := strconv.Atoi(args[1])
		if err != nil {
			s.fail("ERR Protocol version is not an integer or out of range")
			return
		}
		if n != 2 && n != 3 {
			s.fail("NOPROTO unsupported protocol version")
			return
		}
		version = n
	}
	for i := 2; i < len(args); i++ {
		switch word := strings.ToUpper(args[i]); {
		case word == "AUTH" && i+2 < len(args):
			if !s.login(args[i+1], args[i+2]) {
				return
			}
			i += 2
		case word == "SETNAME" && i+1 < len(args):
			if name, named = strings.Clone(args[i+1]), true; !plain(name) {
				s.user = known
				s.fail(errName)
				return
			}
			i++
		default:
			s.user = known
			s.fail("ERR syntax error in HELLO")
			return
		}
	}
	if s.user == nil && len(s.front.users) > 0 {
		s.fail("NOAUTH HELLO must be called with the client already authenticated, otherwise the HELLO <proto> AUTH <user> <pass> " +
			"option can be used to authenticate the client and select the RESP protocol version at the same time")
		return
	}
	if s.version = version; named {
		s.name = name
	}
	w := s.w()
	w.Map(7)
	for _, pair := range [][2]string{{"server", "elderyard"}, {"version", level}} {
		w.Bulk(pair[0])
		w.Bulk(pair[1])
	}
	w.Bulk("proto")
	w.Int(int64(version))
	w.Bulk("id")
	w.Int(s.id)
	w.Bulk("mode")
	w.Bulk("standalone")
	w.Bulk("role")
	w.Bulk("master")
	w.Bulk("modules")
	w.Array(0)
	s.said()
}

func reset(s *session, _ []string) {
	s.version, s.name, s.user = 2, "", nil
	s.w().Simple("RESET")
	s.said()
}

func selectCommand(s *session, args []string) {
	if n, err := strconv.Atoi(args[1]); err != nil {
		s.fail("ERR value is not an integer or out of range")
	} else if n != 0 {
		s.fail("ERR DB index is out of range")
	} else {
		s.w().Simple("OK")
		s.said()
	}
}

const errName = "ERR Client names cannot contain spaces, newlines or special characters."

const mostName = 64

func plain(name string) bool {
	return len(name) <= mostName && !strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r > '~' })
}

func clientCommand(s *session, args []string) {
	sub := strings.ToUpper(args[1])
	switch {
	case sub == "ID" && len(args) == 2:
		s.w().Int(s.id)
	case sub == "GETNAME" && len(args) == 2:
		if s.name == "" {
			s.w().Null()
		} else {
			s.w().Bulk(s.name)
		}
	case sub == "SETNAME" && len(args) == 3:
		if !plain(args[2]) {
			s.fail(errName)
			return
		}
		s.name = strings.Clone(args[2]) // not the text of the whole pipeline
		s.w().Simple("OK")
	case sub == "SETINFO" && len(args) == 4:
		if what := strings.ToUpper(args[2]); what != "LIB-NAME" && what != "LIB-VER" || !plain(args[3]) {
			s.fail("ERR lib-name and lib-ver can be set, to text without spaces, newlines or special characters")
			return
		}
		s.w().Simple("OK")
	case (sub == "NO-EVICT" || sub == "NO-TOUCH") && len(args) == 3:
		if what := strings.ToUpper(args[2]); what != "ON" && what != "OFF" {
			s.fail("ERR syntax error")
			return
		}
		s.w().Simple("OK")
	default:
		s.fail(fmt.Sprintf("ERR unknown subcommand or wrong number of arguments for '%.64s'", args[1]))
		return
	}
	s.said()
}

// about writes a command's entry as COMMAND INFO has it.
func (c *command) about(w *replies) {
	w.Array(10)
	w.Bulk(strings.ToLower(c.name))
	w.Int(int64(c.arity))
	w.Set(1)
	if c.limit {
		w.Simple("write")
	} else {
		w.Simple("fast")
	}
	keyed := c.limit && c.name != "LIMIT.STATS"
	for range 3 { // the first key, the last, the step
		if keyed {
			w.Int(1)
		} else {
			w.Int(0)
		}
	}
	w.Set(0)
	w.Array(0)
	w.Array(0)
	w.Array(0)
}

func commandCommand(s *session, args []string) {
	w, all := s.w(), table()
	if len(args) == 1 {
		w.Array(len(all))
		for i := range all {
			all[i].about(w)
		}
		s.said()
		return
	}
	switch sub := strings.ToUpper(args[1]); {
	case sub == "COUNT" && len(args) == 2:
		w.Int(int64(len(all)))
	case sub == "INFO":
		names := args[2:]
		if len(names) == 0 {
			for i := range all {
				names = append(names, all[i].name)
			}
		}
		w.Array(len(names))
		for _, name := range names {
			if c := find(strings.ToUpper(name)); c != nil {
				c.about(w)
			} else {
				w.Null()
			}
		}
	case sub == "DOCS":
		var list []*command
		for i := range all {
			if len(args) == 2 || slices.ContainsFunc(args[2:], func(n string) bool { return strings.EqualFold(n, all[i].name) }) {
				list = append(list, &all[i])
			}
		}
		w.Map(len(list))
		for _, c := range list {
			w.Bulk(strings.ToLower(c.name))
			w.Map(2)
			w.Bulk("summary")
			w.Bulk(c.summary)
			w.Bulk("group")
			if c.limit {
				w.Bulk("limits")
			} else {
				w.Bulk("connection")
			}
		}
	default:
		s.fail(fmt.Sprintf("ERR unknown subcommand or wrong number of arguments for '%.64s'", args[1]))
		return
	}
	s.said()
}

func info(s *session, args []string) {
	want := func(section string) bool {
		return len(args) == 1 || slices.ContainsFunc(args[1:], func(a string) bool {
			a = strings.ToLower(a)
			return a == section || a == "all" || a == "everything" || a == "default"
		})
	}
	var b strings.Builder
	if want("server") {
		fmt.Fprintf(&b, "# Server\r\nserver_name:elderyard\r\nredis_version:%s\r\nredis_mode:standalone\r\n\r\n", level)
	}
	if want("clients") {
		fmt.Fprintf(&b, "# Clients\r\nconnected_clients:%d\r\nmaxclients:%d\r\n\r\n", s.front.open.Load(), s.front.most)
	}
	if want("limits") {
		b.WriteString("# Limits\r\n")
		for _, st := range s.front.desk.counts() {
			fmt.Fprintf(&b, "%s:%d\r\n", st.name, st.n)
		}
		b.WriteString("\r\n")
	}
	s.w().Bulk(strings.TrimSuffix(b.String(), "\r\n"))
	s.said()
}
