// Grammar of scenario files: one statement per line; `#` starts a comment.

Scenario
  = first:Line rest:(EndOfLine line:Line { return line; })* {
      return [first, ...rest].filter(line => line !== null);
    }

Line
  = _ statement:Statement? _ Comment? {
      return statement === null ? null : {...statement, line: location().start.line};
    }

Statement
  = SetUp / Load / Fault / Expectation

SetUp
  = "title" __ text:Text { return {kind: 'title', text}; }
  / "deployment" __ name:Name { return {kind: 'deployment', name}; }
  / "vms" __ count:Integer __ "per" __ "zone" { return {kind: 'vms', count}; }
  / "fleet" __ "of" __ zones:Integer __ "zones" __ vmsPerZone:Integer __ "vms" __ "each" __ endpoints:Integer __ "endpoints" {
      return {kind: 'fleet', zones, vmsPerZone, endpoints};
    }
  / "engines" __ first:Integer rest:(__ n:Integer { return n; })* __ "per" __ "zone" {
      return {kind: 'engines', generations: [first, ...rest]};
    }
  / "option" __ name:Name _ "=" _ value:(Duration / Number / Name) {
      return {kind: 'option', name, value};
    }
  / "run" __ durationMs:Duration { return {kind: 'run', durationMs}; }

Load
  = "from" __ fromMs:Duration __ "to" __ toMs:Duration __ "call" __ call:Text
    __ rate:Number __ "per" __ "second" zone:(__ "in" __ zone:Name { return zone; })? deadlineMs:(__ "due" __ "in" __ due:Duration { return due; })? behavior:Behavior {
      return {kind: 'load', fromMs, toMs, call, rate, zone: zone ?? '', deadlineMs, ...behavior};
    }

Behavior
  = __ "retrying" __ "unmarked" { return {isRetrying: true, marksAttempts: false}; }
  / __ "retrying" { return {isRetrying: true, marksAttempts: true}; }
  / "" { return {isRetrying: false, marksAttempts: true}; }

Fault
  = "at" __ atMs:Duration __ action:Action { return {kind: 'fault', atMs, action}; }

Action
  = verb:("kill" / "stop" / "start" / "resume") __ "vm" __ vm:Name { return {verb: `${verb}Vm`, vm}; }
  / "pause" __ "vm" __ vm:Name __ "for" __ durationMs:Duration { return {verb: 'pauseVm', vm, durationMs}; }
  / "pause" __ "endpoint" __ endpoint:Name __ "for" __ durationMs:Duration { return {verb: 'pauseEndpoint', endpoint, durationMs}; }
  / "cut" __ a:Name __ "from" __ b:Name { return {verb: 'cut', a, b}; }
  / "heal" { return {verb: 'heal'}; }
  / "lose" __ rate:Number __ "of" __ "messages" { return {verb: 'loseMessages', rate}; }
  / "repeat" __ rate:Number __ "of" __ "messages" { return {verb: 'repeatMessages', rate}; }
  / "platform" __ "down" { return {verb: 'platformDown'}; }
  / "platform" __ "up" { return {verb: 'platformUp'}; }
  / "platform" __ "loses" __ count:Integer __ "answers" { return {verb: 'platformLoses', count}; }
  / "slow" __ endpoint:Name __ "by" __ factor:Number { return {verb: 'slowEndpoint', endpoint, factor}; }
  / "silence" __ endpoint:Name { return {verb: 'silenceEndpoint', endpoint}; }
  / "unsilence" __ endpoint:Name { return {verb: 'unsilenceEndpoint', endpoint}; }
  / "crash" __ endpoint:Name { return {verb: 'crashEndpoint', endpoint}; }
  / "limit" __ endpoint:Name __ "to" __ rate:Number __ "per" __ "second" { return {verb: 'limitEndpoint', endpoint, rate}; }
  / "unlimit" __ endpoint:Name { return {verb: 'unlimitEndpoint', endpoint}; }
  / "leave" __ endpoint:Name { return {verb: 'leaveEndpoint', endpoint}; }
  / "start" __ "version" __ version:Name { return {verb: 'startVersion', version}; }
  / "version" __ version:Name __ "fails" __ rate:Number tail:BadTail { return {verb: 'badVersion', version, failRate: rate, slowFactor: 1, ...tail}; }
  / "version" __ version:Name __ "slows" __ factor:Number tail:BadTail { return {verb: 'badVersion', version, failRate: 0, slowFactor: factor, ...tail}; }
  / "move" __ "to" __ version:Name __ "within" __ durationMs:Duration { return {verb: 'startMove', version, durationMs}; }
  / "change" __ "plans" { return {verb: 'changePlans'}; }
  / "invalid" __ "plans" { return {verb: 'invalidPlans'}; }
  / "operators" __ "race" { return {verb: 'operatorsRace'}; }

BadTail
  = __ "after" __ calls:Integer __ "calls" { return {afterCalls: calls}; }
  / __ "from" __ "batch" __ batch:Integer { return {fromBatch: batch}; }
  / __ "on" __ route:Text { return {route}; }
  / "" { return {}; }

Expectation
  = "expect" __ metric:MetricName qualifiers:Qualifier* _ operator:Operator _ value:(Duration / Number) {
      return {kind: 'expect', metric, qualifiers: Object.assign({}, ...qualifiers), operator, value};
    }

MetricName
  = first:Word rest:(_ w:QualifiedWord { return w; })* { return [first, ...rest].join(' '); }

QualifiedWord
  = !("tier" __ Integer) !("version" __) !("endpoint" __) !("since" __) !("until" __) w:Word { return w; }

Qualifier
  = __ "tier" __ tier:Integer { return {tier}; }
  / __ "version" __ version:Name { return {version}; }
  / __ "endpoint" __ endpoint:Name { return {endpoint}; }
  / __ "since" __ sinceMs:Duration { return {sinceMs}; }
  / __ "until" __ untilMs:Duration { return {untilMs}; }

Operator = ">=" / "<=" / "=" 

Duration "a duration such as 500ms or 3s"
  = value:Number unit:("ms" / "s" / "m") !NameCharacter {
      return value * {ms: 1, s: 1000, m: 60000}[unit];
    }
Integer "a whole number" = digits:$[0-9]+ { return Number(digits); }
Number "a number" = digits:$([0-9]+ ("." [0-9]+)?) { return Number(digits); }
Text "a text in quotes" = '"' text:$[^"\n]* '"' { return text; }
Name "a name" = $([A-Za-z] NameCharacter*)
Word "a word" = $([a-z] [a-z-]*)
NameCharacter = [A-Za-z0-9_.-]
Comment = "#" [^\n]*
EndOfLine = "\n"
_ = [ \t]*
__ = [ \t]+
