// The protocol by which a change of configuration is accepted (docs/design/0001-accepting-a-change.md).
// Two submissions race on one pipeline from versions that may be stale; boxes are killed, frozen (they simply take no
// step), join, are removed and wake; a table write may take effect while its answer is lost (the submitter's own
// knowledge, `told`, is apart from the row).
enum RowState { Absent, Staged, Accepted, Refused }
sig Submission { base: lone Submission }            // none = the first version
fact { all s: Submission | s not in s.^base }
sig Box {
  var holds: lone Submission,                       // version in force on this box (none = first)
  var prepared: lone Submission }
var sig Member, Dead, Doubtful, Confirmed in Box {} // rows of the table; killed; prepared too long; membership confirmed
one sig Table { var row: Submission -> one RowState, var current: lone Submission }
sig Ack { var of: Submission -> Box }
fact { one Ack }
var sig ToldAccepted, ToldRefused in Submission {}
var sig Ever in Submission {}                       // accepted at some time

fun state[s: Submission]: RowState { Table.row[s] }
pred newer[a, b: Submission] { b in a.^base }
pred serves[b: Box, v: Submission] { b in Member + Zombie - Dead and b in Confirmed and b not in Doubtful and b.holds = v }
var sig Zombie in Box {}                            // removed from the rows but does not know it

pred same_table { row' = row and current' = current and Ever' = Ever }
pred same_members { Member' = Member and Zombie' = Zombie and Confirmed' = Confirmed and Dead' = Dead }
pred same_box { holds' = holds and prepared' = prepared and Doubtful' = Doubtful }
pred same_told { of' = of and ToldAccepted' = ToldAccepted and ToldRefused' = ToldRefused }

pred init { no holds and no prepared and no Doubtful and no Dead and no Zombie and Confirmed = Member and some Member
  all s: Submission | state[s] = Absent
  no current and no of and no ToldAccepted and no ToldRefused and no Ever }
pred stage[s: Submission] { state[s] = Absent and s.base = Table.current and no t: Submission | state[t] = Staged
  row' = row - Table->s->RowState + Table->s->Staged and current' = current and Ever' = Ever and same_members and same_box and same_told }
pred prepare[s: Submission, b: Box] { state[s] = Staged and b in Member - Dead and no b.prepared and b.holds = s.base
  prepared' = prepared + b->s and holds' = holds and Doubtful' = Doubtful and of' = of + Ack->s->b
  ToldAccepted' = ToldAccepted and ToldRefused' = ToldRefused and same_table and same_members }
pred accept[s: Submission] { state[s] = Staged and Member in Ack.of[s]
  row' = row - Table->s->RowState + Table->s->Accepted and current' = Table->s and Ever' = Ever + s and same_members and same_box and same_told }
pred refuse[s: Submission] { state[s] = Staged
  row' = row - Table->s->RowState + Table->s->Refused and current' = current and Ever' = Ever and same_members and same_box and same_told }
pred learn[b: Box] { b not in Dead and b in Member and some b.prepared and state[b.prepared] in Accepted + Refused
  holds' = (state[b.prepared] = Accepted implies holds ++ b->b.prepared else holds)
  prepared' = prepared - b->Submission and Doubtful' = Doubtful - b and same_table and same_members and same_told }
pred doubt[b: Box] { some b.prepared and b not in Dead and Doubtful' = Doubtful + b
  holds' = holds and prepared' = prepared and same_table and same_members and same_told }
pred tell[s: Submission] { state[s] in Accepted + Refused
  state[s] = Accepted implies (all b: Member - Dead | (b.holds = s or s in b.holds.^base or b in Doubtful or b not in Confirmed))
  ToldAccepted' = (state[s] = Accepted implies ToldAccepted + s else ToldAccepted)
  ToldRefused' = (state[s] = Refused implies ToldRefused + s else ToldRefused)
  of' = of and same_table and same_members and same_box }
pred kill[b: Box] { b not in Dead and Dead' = Dead + b and Member' = Member and Zombie' = Zombie and Confirmed' = Confirmed
  same_table and same_box and same_told }
pred lapse[b: Box] { b in Confirmed and Confirmed' = Confirmed - b and Member' = Member and Zombie' = Zombie and Dead' = Dead
  same_table and same_box and same_told }
// After a lapse a box takes on the versions of whoever confirms it, before it serves: the table, or a peer that serves.
pred confirm[b: Box] { b in Member - Dead - Confirmed and Confirmed' = Confirmed + b
  (holds' = holds - b->Submission + b->Table.current
    or some p: Member - b | serves[p, p.holds] and ((newer[p.holds, b.holds] or no b.holds) implies holds' = holds - b->Submission + b->p.holds else holds' = holds))
  prepared' = prepared and Doubtful' = Doubtful
  Member' = Member and Zombie' = Zombie and Dead' = Dead and same_table and same_told }
pred remove[b: Box] { b in Member and (b in Dead or b not in Confirmed)
  Member' = Member - b and Zombie' = Zombie + b and Confirmed' = Confirmed and Dead' = Dead and same_table and same_box and same_told }
pred join[b: Box] { b not in Member + Zombie + Dead and Member' = Member + b and Confirmed' = Confirmed + b and Zombie' = Zombie and Dead' = Dead
  holds' = holds + (b->Table.current) and prepared' = prepared and Doubtful' = Doubtful and same_table and same_told }
pred idle { same_table and same_members and same_box and same_told }
fact { init and always (idle or (some s: Submission | stage[s] or accept[s] or refuse[s] or tell[s])
  or (some b: Box | learn[b] or doubt[b] or kill[b] or lapse[b] or confirm[b] or remove[b] or join[b])
  or (some s: Submission, b: Box | prepare[s, b])) }

run twoAccepted { eventually #Ever = 2 } for 3 but exactly 2 Submission, 1 Ack, 12 steps
check oneFromABase { always all disj s, t: Ever | s.base != t.base } for 3 but 2 Submission, 1 Ack, 9 steps
// once accepted, nobody serves an older version except prepared with its timer running
check inForce { always all b: Box, s: Ever | (serves[b, b.holds] and (no b.holds or newer[s, b.holds])) implies some b.prepared } for 3 but 2 Submission, 1 Ack, 9 steps
check toldMeansInForce { always all s: ToldAccepted, b: Box | serves[b, b.holds] implies (b.holds = s or newer[b.holds, s]) } for 3 but 2 Submission, 1 Ack, 9 steps
check neverReverts { always all b: Box, v: Submission | (b.holds = v and some v) implies always (b.holds = v or newer[b.holds, v]) } for 3 but 2 Submission, 1 Ack, 9 steps
check refusedNeverServed { always all s: ToldRefused | no b: Box | b.holds = s } for 3 but 2 Submission, 1 Ack, 9 steps
check toldOnce { always no ToldAccepted & ToldRefused } for 3 but 2 Submission, 1 Ack, 9 steps
// what an operator was told is written in the table
check toldMeansDurable { always all s: ToldAccepted | state[s] = Accepted } for 3 but 2 Submission, 1 Ack, 9 steps
