package respfront

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"elderyard/internal/resp"
)

// redisVersion is the version of the published command set that INFO and HELLO return:
// clients choose by it which commands they send. It is not the version of this program.
const redisVersion = "7.0.0"

type replyWriter = resp.Writer

// command is one entry of the table.
type command struct {
	name    string
	arity   int // as published: the number of words including the name; negative: the minimum
	limit   bool
	summary string
	run     func(s *session, args []string)
}

// table returns all commands, ordered by name. It is a function because handlers use it.
func table() []command { return commands }

var commands []command

// The table is set here because of the cycle between it and the handlers that use it.
func init() {
	commands = []command{
		{"AUTH", -2, false, "Says who the client is.", auth},
		{"CL.THROTTLE", -5, true, "Takes units of an account: limited, limit, remaining, retry after, reset after.", throttle},
		{"CLIENT", -2, false, "Names the connection, and tells its number and name.", clientCommand},
		{"COMMAND", -1, false, "Lists the commands.", commandCommand},
		{"ECHO", 2, false, "Says what it is told.", func(s *session, args []string) { s.writer().Bulk(args[1]); s.queue() }},
		{"HELLO", -1, false, "Chooses the version of the protocol, and may say who the client is.", hello},
		{"INFO", -1, false, "Tells what this is and what it has done.", info},
		{"LIMIT.GIVE", -5, true, "Gives back units of a take that named a token.", limitGive},
		{"LIMIT.PEEK", -2, true, "Tells what is left of an account's quota, as known here.", limitPeek},
		{"LIMIT.PLAN", -2, true, "Tells the figures of an account's plan.", limitPlan},
		{"LIMIT.STATS", 1, true, "Counts takes, refusals and gives.", limitStats},
		{"LIMIT.TAKE", -3, true, "Takes units of an account's quota.", limitTake},
		{"PING", -1, false, "Says PONG, or what it is told.", ping},
		{"QUIT", -1, false, "Ends the connection.", func(s *session, _ []string) { s.writer().Simple("OK"); s.queue(); s.closing = true }},
		{"RESET", 1, false, "Forgets who the client is, its name and version.", reset},
		{"SELECT", 2, false, "Chooses database 0, the only one.", selectCommand},
	}
}

// lookupCommand returns the command with a name in upper case, or nil.
func lookupCommand(name string) *command {
	all := table()
	i, found := slices.BinarySearchFunc(all, name, func(c command, name string) int { return strings.Compare(c.name, name) })
	if !found {
		return nil
	}
	return &all[i]
}

// dispatch runs one command, or replies with the error that prevents it.
func (s *session) dispatch(args []string) {
	name := strings.ToUpper(args[0])
	c := lookupCommand(name)
	switch {
	case s.user == nil && len(s.server.users) > 0 && name != "AUTH" && name != "HELLO" && name != "QUIT" && name != "RESET":
		s.fail("NOAUTH Authentication required.")
	case c == nil:
		s.fail(fmt.Sprintf("ERR unknown command '%.64s'", args[0]))
	case c.arity >= 0 && len(args) != c.arity, len(args) < -c.arity:
		s.fail(fmt.Sprintf("ERR wrong number of arguments for '%s' command", strings.ToLower(name)))
	case c.limit && !s.user.mayRun(name):
		s.fail(fmt.Sprintf("NOPERM this user has no permissions to run the '%s' command", strings.ToLower(name)))
	default:
		c.run(s, args)
	}
}

func ping(s *session, args []string) {
	switch len(args) {
	case 1:
		s.writer().Simple("PONG")
		s.queue()
	case 2:
		s.writer().Bulk(args[1])
		s.queue()
	default:
		s.fail("ERR wrong number of arguments for 'ping' command")
	}
}

// login sets the user, for AUTH and HELLO. If it returns false, it has replied with an
// error.
func (s *session) login(name, password string) bool {
	if len(s.server.users) == 0 {
		s.fail("ERR AUTH called without any user configured")
		return false
	}
	user := s.server.users.find(name, password)
	if user == nil {
		s.server.failedLogins.Add(1)
		s.fail("WRONGPASS invalid username-password pair or user is disabled.")
		return false
	}
	s.user = user
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
		s.writer().Simple("OK")
		s.queue()
	}
}

func hello(s *session, args []string) {
	version, name, setName, previousUser := s.version, "", false, s.user
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
			if name, setName = strings.Clone(args[i+1]), true; !validName(name) {
				s.user = previousUser
				s.fail(errClientName)
				return
			}
			i++
		default:
			s.user = previousUser
			s.fail("ERR syntax error in HELLO")
			return
		}
	}
	if s.user == nil && len(s.server.users) > 0 {
		s.fail("NOAUTH HELLO must be called with the client already authenticated, otherwise the HELLO <proto> AUTH <user> <pass> " +
			"option can be used to authenticate the client and select the RESP protocol version at the same time")
		return
	}
	if s.version = version; setName {
		s.name = name
	}
	w := s.writer()
	w.Map(7)
	for _, pair := range [][2]string{{"server", "elderyard"}, {"version", redisVersion}} {
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
	s.queue()
}

func reset(s *session, _ []string) {
	s.version, s.name, s.user = 2, "", nil
	s.writer().Simple("RESET")
	s.queue()
}

func selectCommand(s *session, args []string) {
	if n, err := strconv.Atoi(args[1]); err != nil {
		s.fail("ERR value is not an integer or out of range")
	} else if n != 0 {
		s.fail("ERR DB index is out of range")
	} else {
		s.writer().Simple("OK")
		s.queue()
	}
}

const errClientName = "ERR Client names cannot contain spaces, newlines or special characters."

const maxNameBytes = 64

func validName(name string) bool {
	return len(name) <= maxNameBytes && !strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r > '~' })
}

func clientCommand(s *session, args []string) {
	sub := strings.ToUpper(args[1])
	switch {
	case sub == "ID" && len(args) == 2:
		s.writer().Int(s.id)
	case sub == "GETNAME" && len(args) == 2:
		if s.name == "" {
			s.writer().Null()
		} else {
			s.writer().Bulk(s.name)
		}
	case sub == "SETNAME" && len(args) == 3:
		if !validName(args[2]) {
			s.fail(errClientName)
			return
		}
		s.name = strings.Clone(args[2]) // a substring would keep the text of the whole pipeline in memory
		s.writer().Simple("OK")
	case sub == "SETINFO" && len(args) == 4:
		if attribute := strings.ToUpper(args[2]); attribute != "LIB-NAME" && attribute != "LIB-VER" || !validName(args[3]) {
			s.fail("ERR lib-name and lib-ver can be set, to text without spaces, newlines or special characters")
			return
		}
		s.writer().Simple("OK")
	case (sub == "NO-EVICT" || sub == "NO-TOUCH") && len(args) == 3:
		if mode := strings.ToUpper(args[2]); mode != "ON" && mode != "OFF" {
			s.fail("ERR syntax error")
			return
		}
		s.writer().Simple("OK")
	default:
		s.fail(fmt.Sprintf("ERR unknown subcommand or wrong number of arguments for '%.64s'", args[1]))
		return
	}
	s.queue()
}

// writeInfo writes the entry of a command in the reply of COMMAND INFO.
func (c *command) writeInfo(w *replyWriter) {
	w.Array(10)
	w.Bulk(strings.ToLower(c.name))
	w.Int(int64(c.arity))
	w.Set(1)
	if c.limit {
		w.Simple("write")
	} else {
		w.Simple("fast")
	}
	hasKey := c.limit && c.name != "LIMIT.STATS"
	for range 3 { // positions of the first and the last key, and the step between keys
		if hasKey {
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
	w, all := s.writer(), table()
	if len(args) == 1 {
		w.Array(len(all))
		for i := range all {
			all[i].writeInfo(w)
		}
		s.queue()
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
			if c := lookupCommand(strings.ToUpper(name)); c != nil {
				c.writeInfo(w)
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
	s.queue()
}

func info(s *session, args []string) {
	requested := func(section string) bool {
		return len(args) == 1 || slices.ContainsFunc(args[1:], func(a string) bool {
			a = strings.ToLower(a)
			return a == section || a == "all" || a == "everything" || a == "default"
		})
	}
	var b strings.Builder
	if requested("server") {
		fmt.Fprintf(&b, "# Server\r\nserver_name:elderyard\r\nredis_version:%s\r\nredis_mode:standalone\r\n\r\n", redisVersion)
	}
	if requested("clients") {
		fmt.Fprintf(&b, "# Clients\r\nconnected_clients:%d\r\nmaxclients:%d\r\n\r\n", s.server.connections.Load(), s.server.maxConnections)
	}
	if requested("limits") {
		b.WriteString("# Limits\r\n")
		for _, c := range s.server.limiter.counts() {
			fmt.Fprintf(&b, "%s:%d\r\n", c.name, c.value)
		}
		b.WriteString("\r\n")
	}
	s.writer().Bulk(strings.TrimSuffix(b.String(), "\r\n"))
	s.queue()
}
