/*
 * The core protocol of the keeper: lease, fencing, commit with lost answers, claim before send,
 * take-over by replay, and the digest check at the side.
 *
 * README.md says what is modelled and how the names map to the code. A guard is taken away by
 * compiling the verifier with its macro set to 1: NO_FENCE_COMPARE, NO_HEAD_COMPARE,
 * NO_READ_BACK, NO_CLAIM_FIRST, NO_DIGEST_CHECK. ALLOW_STALE takes away the assertion that no
 * entry comes from a keeper whose lease is gone, to see what its callers see of it. EXPECT_END
 * turns the wanted end into an error, to show that it is reached.
 */

#define KEEPERS      2
#define PROGRAMS     2
#define TURNS        2    /* of each program */
#define ACQUISITIONS 3    /* of the shard's lease, by either keeper */
#define RUNS         2    /* of each turn, at most */
#define ENTRIES      6    /* of the journal: four turns, a claim opened, a claim done */

#define NONE   0
#define OK     1          /* a reply: the transaction took effect */
#define FAILED 2          /* a reply: a compare did not hold */

/* States of the one claim; also what its caller is told. */
#define OPEN  1
#define DONE  2
#define MAYBE 3

/* What a write adds to the journal. */
#define TURN       1
#define CLAIM_OPEN 2
#define CLAIM_DONE 3

/* A history of one turn by its program and that turn's answer; no two histories share a value. */
#define HISTORY(p, ans) ((p) * 16 + (ans) + 1)
#define AT(p, t) ((p) * TURNS + (t) - 1)
#define RUN(p, ans) ((p) * (RUNS + 1) + (ans))
#define LAST_TURN(p) (2 - (p))
#define CALLS 1

typedef Write {
	byte kind;        /* NONE: nothing is on its way */
	byte fence;       /* compared with that of the lease */
	byte position;    /* compared with the journal's length */
	byte program;
	byte turn;
	byte ans
};

/* The platform's store. */
byte fence;                       /* revision of the last acquisition */
bool live;                        /* the lease of that acquisition exists */
byte length;                      /* of the journal */
byte head;                        /* who wrote the last entry: that one's fence */
byte turns[PROGRAMS];             /* committed turns */
byte answers[PROGRAMS * TURNS];   /* their answers */
byte claim;                       /* the claim as committed */

/* The network between a keeper and the store. */
Write sent_write[KEEPERS];        /* the write whose answer is awaited */
Write late_write[KEEPERS];        /* one given up by its keeper, which may yet arrive */
byte reply[KEEPERS];

/* The side and its engine: room for the history of one program. */
byte side_fence;                  /* highest fencing number seen */
byte held;                        /* the HISTORY in the engine's cache, or NONE */
byte runs[PROGRAMS * TURNS];      /* answers made so far; each run makes another */
byte prompt[PROGRAMS * (RUNS + 1)]; /* the history before turn 2, as each run of it saw it */

/* The plain service behind the non-idempotent call. */
byte calls;

/* What the callers were told. */
byte got[PROGRAMS];               /* turns answered */
byte told;                        /* NONE, DONE or MAYBE for the non-idempotent call */

inline clear(w) {
	w.kind = NONE; w.fence = 0; w.position = 0; w.program = 0; w.turn = 0; w.ans = 0
}

/* Tells whether the write's compares hold, then applies it. Every promise about the journal is
 * asserted here. */
inline apply(w, result) {
	if
	:: (!live || w.fence != fence) && c_expr { !NO_FENCE_COMPARE } ->
		result = FAILED
	:: else ->
		if
		:: w.position != length && c_expr { !NO_HEAD_COMPARE } ->
			result = FAILED
		:: else ->
			/* No entry comes from a keeper whose lease is gone. */
			assert((live && w.fence == fence) || c_expr { ALLOW_STALE });
			if
			:: w.kind == TURN ->
				/* Turns are in order, each once. */
				assert(w.turn == turns[w.program] + 1);
				/* The answer was made from this program's own committed history. */
				assert(w.turn == 1 || prompt[RUN(w.program, w.ans)]
				       == HISTORY(w.program, answers[AT(w.program, 1)]));
				turns[w.program] = w.turn;
				answers[AT(w.program, w.turn)] = w.ans;
				if
				:: w.turn == 2 ->       /* no longer needed */
					prompt[RUN(w.program, 1)] = NONE;
					prompt[RUN(w.program, 2)] = NONE
				:: else
				fi
			:: w.kind == CLAIM_OPEN ->
				assert(claim == NONE);
				claim = OPEN
			:: w.kind == CLAIM_DONE ->
				assert(claim == OPEN || c_expr { NO_CLAIM_FIRST });
				claim = DONE
			fi;
			assert(length < ENTRIES);
			length++;
			head = w.fence;
			result = OK
		fi
	fi
}

/* Makes the wanted end an error, to show that it is reached. */
inline expect_end() {
	assert(c_expr { !EXPECT_END } || got[0] < LAST_TURN(0) || got[1] < LAST_TURN(1)
	       || told != DONE || fence < ACQUISITIONS)
}

/* A late write that can only fail changes nothing, and nobody waits for its reply: forgetting it
 * at once keeps the states few. */
inline forget_hopeless(w) {
	if
	:: w.kind != NONE && c_expr { !NO_FENCE_COMPARE } && (!live || w.fence != fence) -> clear(w)
	:: w.kind != NONE && c_expr { !NO_HEAD_COMPARE } && w.position != length -> clear(w)
	:: else
	fi
}

inline arrive(k) {
	apply(sent_write[k], result);
	reply[k] = result;
	clear(sent_write[k]);
	result = NONE;
	forget_hopeless(late_write[0]);
	forget_hopeless(late_write[1])
}

inline arrive_late(k) {
	apply(late_write[k], result);
	clear(late_write[k]);
	result = NONE;
	forget_hopeless(late_write[0]);
	forget_hopeless(late_write[1])
}

/* Applies writes when they arrive, however late, and lets leases lapse at any time. */
proctype Store() {
	byte result;
end:	do
	:: d_step { sent_write[0].kind != NONE -> arrive(0) }
	:: d_step { sent_write[1].kind != NONE -> arrive(1) }
	:: d_step { late_write[0].kind != NONE -> arrive_late(0) }
	:: d_step { late_write[1].kind != NONE -> arrive_late(1) }
	:: d_step { live ->
		live = false;
		forget_hopeless(late_write[0]);
		forget_hopeless(late_write[1]) }
	od
}

/* The engine makes another answer to turn t of program p. The side has compared the digest that
 * the keeper named with the history that the engine holds; if they differ, it got the whole. */
inline run_turn() {
	runs[AT(p, t)]++;
	ans = runs[AT(p, t)];
	if
	:: t == 1 -> held = HISTORY(p, ans)
	:: t == 2 ->
		if
		:: held == HISTORY(p, known_ans[AT(p, 1)]) || c_expr { NO_DIGEST_CHECK } ->
			prompt[RUN(p, ans)] = held
		:: else ->
			prompt[RUN(p, ans)] = HISTORY(p, known_ans[AT(p, 1)])
		fi;
		held = NONE
	fi
}

/* What a caller is told is durable; and as no turn enters the journal twice, the same each time. */
inline answer_turn() {
	assert(turns[p] >= t && answers[AT(p, t)] == ans);
	if
	:: got[p] < t -> got[p] = t
	:: else
	fi;
	expect_end()
}

inline answer_call() {
	/* "It ran" is true. */
	assert(known_claim != DONE || calls == 1);
	if
	:: told == NONE -> told = known_claim
	:: else
	fi;
	expect_end()
}

/* The awaited write becomes a late one; a late one from before is lost. */
inline give_up() {
	if
	:: sent_write[k].kind != NONE ->
		late_write[k].kind = kind; late_write[k].fence = mine;
		late_write[k].position = position; late_write[k].program = p;
		late_write[k].turn = t; late_write[k].ans = ans;
		clear(sent_write[k]);
		forget_hopeless(late_write[k])
	:: else
	fi;
	reply[k] = NONE
}

inline forget_write() {
	kind = NONE; p = 0; t = 0; ans = 0
}

inline forget_all() {
	mine = 0; position = 0; known_claim = NONE;
	known[0] = 0; known[1] = 0;
	known_ans[0] = 0; known_ans[1] = 0; known_ans[2] = 0; known_ans[3] = 0;
	forget_write()
}

/* The keeper learns that its write is in the journal, and answers. */
inline committed() {
	position++;
	if
	:: kind == TURN ->
		known[p] = t;
		known_ans[AT(p, t)] = ans;
		answer_turn();
		forget_write();
		goto idle
	:: kind == CLAIM_OPEN ->
		known_claim = OPEN;
		forget_write();
		goto send
	:: kind == CLAIM_DONE ->
		known_claim = DONE;
		answer_call();
		forget_write();
		goto idle
	fi
}

/* One entry as keeper of the shard. Between any two of its steps it may pause for as long as the
 * others like, and then act on what it believed before; or crash and forget all. */
proctype Keeper(byte k) {
	byte mine;                     /* fencing number that it believes to hold; 0 for none */
	byte position;                 /* the journal's length as it knows it */
	byte known[PROGRAMS];          /* committed turns as it knows them */
	byte known_ans[PROGRAMS * TURNS];
	byte known_claim;
	byte kind, p, t, ans;          /* the write under way */

end:
idle:	if
	/* Acquire the lease, then replay the journal. */
	:: d_step { mine == 0 && !live && fence < ACQUISITIONS ->
		fence++; live = true; mine = fence };
	   d_step {
		position = length;
		known[0] = turns[0]; known[1] = turns[1];
		known_ans[0] = answers[0]; known_ans[1] = answers[1];
		known_ans[2] = answers[2]; known_ans[3] = answers[3];
		/* Nobody can tell whether the call of an open claim was sent. */
		known_claim = (claim == OPEN -> MAYBE : claim) };
	   goto idle
	:: atomic { mine != 0 -> forget_all(); goto idle }
	/* A turn that its caller asks for, be it for the first time or again. */
	:: atomic { mine != 0 && got[0] + 1 >= 1 && LAST_TURN(0) >= 1 -> p = 0; t = 1; goto turn }
	:: atomic { mine != 0 && got[0] + 1 >= 2 && LAST_TURN(0) >= 2 -> p = 0; t = 2; goto turn }
	:: atomic { mine != 0 && got[1] + 1 >= 1 && LAST_TURN(1) >= 1 -> p = 1; t = 1; goto turn }
	:: atomic { mine != 0 && got[1] + 1 >= 2 && LAST_TURN(1) >= 2 -> p = 1; t = 2; goto turn }
	/* The non-idempotent call. */
	:: atomic { mine != 0 && told == NONE && CALLS -> goto call }
	fi;

turn:	atomic {
	if
	:: known[p] >= t ->
		ans = known_ans[AT(p, t)];
		answer_turn();
		forget_write();
		goto idle
	/* Its view is behind, or the bound on runs is reached: refused. */
	:: known[p] + 1 < t || (known[p] + 1 == t && runs[AT(p, t)] == RUNS) ->
		forget_write();
		goto idle
	/* The side has seen a newer fencing number. */
	:: known[p] + 1 == t && runs[AT(p, t)] < RUNS && mine < side_fence ->
		forget_all();
		goto idle
	:: known[p] + 1 == t && runs[AT(p, t)] < RUNS && mine >= side_fence ->
		side_fence = mine;
		run_turn();
		kind = TURN;
		goto commit
	fi };

call:	atomic {
	if
	:: known_claim == DONE || known_claim == MAYBE ->
		answer_call();
		goto idle
	:: known_claim == NONE && c_expr { !NO_CLAIM_FIRST } -> kind = CLAIM_OPEN; goto commit
	:: known_claim == OPEN || (known_claim == NONE && c_expr { NO_CLAIM_FIRST }) -> goto send
	fi };
send:
	atomic {
		/* At most once. */
		calls++;
		assert(calls <= 1);
		kind = CLAIM_DONE };

commit:
	atomic {
		sent_write[k].kind = kind;
		sent_write[k].fence = mine;
		sent_write[k].position = position;
		sent_write[k].program = p;
		sent_write[k].turn = t;
		sent_write[k].ans = ans };
	if
	:: atomic { reply[k] == OK -> reply[k] = NONE; committed() }
	:: atomic { reply[k] == FAILED -> reply[k] = NONE; goto read_back }
	/* No answer in time: the write took effect, or did not, or will. */
	:: atomic { sent_write[k].kind != NONE || reply[k] != NONE -> give_up(); goto read_back }
	/* It crashes while it waits. */
	:: atomic { sent_write[k].kind != NONE || reply[k] != NONE -> give_up(); forget_all(); goto idle }
	fi;
read_back:
	/* Read the head back and compare, before anything is written again. */
	if
	:: atomic { c_expr { NO_READ_BACK } -> position = length; goto commit }
	:: atomic { c_expr { !NO_READ_BACK } && length == position + 1 && head == mine ->
		committed() }
	:: atomic { c_expr { !NO_READ_BACK } && !(length == position + 1 && head == mine) ->
		if
		:: length == position && live && fence == mine -> goto commit
		/* Nobody took the shard since: acquire it again, and go on. */
		:: length == position && !live && fence < ACQUISITIONS ->
			fence++;
			live = true;
			mine = fence;
			goto commit
		:: else -> forget_all(); goto idle
		fi }
	fi
}

init {
	atomic { run Store(); run Keeper(0); run Keeper(1) }
}
