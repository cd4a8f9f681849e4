'use strict';

// Times in milliseconds.
const refreshEvery = 5000;
const forcePoll = 500;
const forcePolls = 20;

const $ = id => document.getElementById(id);
let schema = {}, kind = '';

async function call(method, path, headers, body) {
  const r = await fetch(path, { method, headers: { Authorization: 'Bearer ' + $('key').value, ...headers }, body });
  const text = await r.text();
  let value;
  try { value = JSON.parse(text); } catch { value = { title: text }; }
  return { ok: r.ok, status: r.status, value };
}

// get reads a value, or says in the page's state why it can't and returns null.
async function get(path) {
  try {
    const r = await call('GET', path);
    if (r.ok) return r.value;
    say(problem(r.value));
  } catch {
    say('The server does not answer.');
  }
  return null;
}

const say = text => { $('state').textContent = text; };
const rowPath = (kind, key) => '/v1/table/' + encodeURIComponent(kind) + '/' + key.split('/').map(encodeURIComponent).join('/');
const problem = v => [v.title, v.column && 'Column ' + v.column + ':', v.detail].filter(Boolean).join(' ');
const who = row => row.changed_by ? ' by ' + row.changed_by + ' at ' + row.changed_at : '';
const force = f => 'In force on ' + f.in_force + ' of ' + f.entries + (f.lagging ? '; waiting for ' + f.lagging.join(', ') : '') + '.';

async function start() {
  if (!$('key').value) { say('Give your operator key.'); return; }
  const s = await get('/v1/schema');
  if (!s) return;
  schema = s;
  $('kinds').replaceChildren(...Object.keys(schema).sort().map(k => button(k, () => choose(k))));
  await show(kind || Object.keys(schema).sort()[0]);
}

// choose shows another kind; what is not saved is not dropped without a question.
function choose(k) {
  if (trs().some(tr => tr.className) && !confirm('Drop the changes that are not saved?')) return;
  show(k);
}

async function show(k) {
  const list = await get('/v1/table/' + encodeURIComponent(k));
  if (!list) return;
  kind = k;
  for (const b of $('kinds').children) b.setAttribute('aria-current', b.textContent === k);
  $('head').replaceChildren(headLine());
  $('rows').replaceChildren(...list.rows.map(line), line(empty()));
  counted(list);
}

const counted = list => say(list.rows.length + ' rows at revision ' + list.revision);
const empty = () => ({ kind, key: '', columns: {}, version: 0 });
const trs = () => [...$('rows').children];

function headLine() {
  const tr = document.createElement('tr');
  const columns = [{ name: 'key' }, ...schema[kind], { name: 'save' }, { name: 'state' }];
  for (const c of columns) {
    const th = document.createElement('th');
    th.scope = 'col';
    th.textContent = c.name + (c.unit ? ' (' + c.unit + ')' : '');
    const small = document.createElement('small');
    small.textContent = c.doc || '';
    th.append(small);
    tr.append(th);
  }
  return tr;
}

function line(row) {
  const tr = document.createElement('tr');
  tr.row = row;
  fill(tr);
  return tr;
}

// fill writes a row's cells as they are in force. The field that had the focus
// keeps it: who works by keyboard goes on where they were.
function fill(tr) {
  const focused = Object.keys(tr.fields || {}).find(n => tr.fields[n] === document.activeElement);
  const row = tr.row;
  tr.className = '';
  tr.edit = null;
  tr.fields = {};
  tr.replaceChildren(keyCell(tr));
  for (const c of schema[kind]) {
    const td = document.createElement('td');
    td.append(field(tr, c.name, c.default || '', row.columns[c.name] || ''));
    tr.append(td);
  }
  const does = document.createElement('td');
  does.className = 'does';
  does.append(button('Save', () => save(tr), 'Save ' + row.key));
  if (row.version) does.append(button('Delete', () => remove(tr), 'Delete ' + row.key));
  tr.says = document.createElement('td');
  tr.says.className = 'says';
  tr.says.setAttribute('role', 'status');
  if (row.version) tr.says.textContent = 'Version ' + row.version + who(row) + '.';
  tr.append(does, tr.says);
  if (focused) (tr.fields[focused] || Object.values(tr.fields)[0]).focus();
}

function keyCell(tr) {
  const th = document.createElement('th');
  th.scope = 'row';
  if (tr.row.version) th.textContent = tr.row.key;
  else th.append(field(tr, '$key', 'new row', tr.row.key));
  return th;
}

function field(tr, name, placeholder, value) {
  const i = document.createElement('input');
  i.placeholder = placeholder;
  i.value = value;
  i.setAttribute('aria-label', (tr.row.key || 'new row') + ' ' + (name === '$key' ? 'key' : name));
  i.addEventListener('input', () => { tr.className = 'changed'; tr.edit = null; i.removeAttribute('aria-invalid'); });
  i.addEventListener('keydown', e => keys(e, tr, name));
  tr.fields[name] = i;
  return i;
}

function button(text, act, label) {
  const b = document.createElement('button');
  b.type = 'button';
  b.textContent = text;
  if (label) b.setAttribute('aria-label', label);
  b.addEventListener('click', act);
  return b;
}

function keys(e, tr, name) {
  if (e.key === 'Enter') { e.preventDefault(); save(tr); }
  if (e.key === 'Escape') { e.preventDefault(); fill(tr); }
  if (!e.altKey || (e.key !== 'ArrowDown' && e.key !== 'ArrowUp')) return;
  e.preventDefault();
  const next = e.key === 'ArrowDown' ? tr.nextElementSibling : tr.previousElementSibling;
  if (next) (next.fields[name] || Object.values(next.fields)[0]).focus();
}

// editID stays the same until the row is changed, so that an edit that is sent
// again after a lost answer is made once.
function editID(tr) {
  if (!tr.edit) tr.edit = Array.from(crypto.getRandomValues(new Uint32Array(4)), n => n.toString(36)).join('-');
  return tr.edit;
}

const based = row => row.version ? { 'If-Match': '"' + row.version + '"' } : { 'If-None-Match': '*' };

async function send(tr, method, key, body) {
  const id = editID(tr);
  tr.says.textContent = 'Sending…';
  try {
    return { id, ...await call(method, rowPath(kind, key), { ...based(tr.row), 'Idempotency-Key': id }, body) };
  } catch {
    tr.className = 'bad';
    tr.says.textContent = 'The server did not answer; the edit may have been made. Send it again: it is made once.';
    return null;
  }
}

async function save(tr) {
  const row = tr.row, columns = {};
  for (const c of schema[kind]) if (tr.fields[c.name].value !== '') columns[c.name] = tr.fields[c.name].value;
  const key = row.version ? row.key : tr.fields.$key.value.trim();
  if (!key) { tr.says.textContent = 'Give the new row a key.'; tr.fields.$key.focus(); return; }
  const r = await send(tr, 'PUT', key, JSON.stringify({ columns }));
  if (r && r.ok) accepted(tr, r); else if (r) refused(tr, r);
}

async function remove(tr) {
  if (!confirm('Delete ' + kind + ' ' + tr.row.key + '?')) return;
  const r = await send(tr, 'DELETE', tr.row.key);
  if (!r) return;
  if (!r.ok) { refused(tr, r); return; }
  const next = tr.nextElementSibling;
  tr.remove();
  if (next) Object.values(next.fields)[0].focus();
  say('Deleted. ' + force(r.value.force));
}

function accepted(tr, r) {
  const made = !tr.row.version;
  tr.row = r.value.rows[0];
  // What was typed while the edit was on its way stays, as a further change.
  if (tr.edit === r.id) fill(tr);
  if (made) tr.after(line(empty()));
  const text = 'Version ' + tr.row.version + who(tr.row) + '.\n';
  tr.says.textContent = text + force(r.value.force);
  if (r.value.force.lagging) follow(tr, r.value.force.revision, text);
}

function refused(tr, r) {
  tr.className = 'bad';
  if (r.status === 412 && r.value.in_force) { conflict(tr, r.value.in_force[0]); return; }
  tr.says.textContent = problem(r.value);
  const wrong = tr.fields[r.value.column];
  if (!wrong) return;
  wrong.setAttribute('aria-invalid', 'true');
  wrong.focus();
}

// conflict shows the row in force beside what was typed, and lets the operator
// choose.
function conflict(tr, now) {
  if (now.deleted) {
    tr.says.textContent = 'Deleted' + who(now) + '.\n';
    tr.says.append(button('Make it again', () => { tr.row = { ...tr.row, version: 0 }; tr.edit = null; remake(tr); }));
  } else {
    const cells = Object.entries(now.columns).map(([n, v]) => n + '=' + v).join(' ') || 'defaults only';
    tr.says.textContent = 'Changed' + who(now) + ' to version ' + now.version + ': ' + cells + '\n';
    tr.says.append(button('Take theirs', () => { tr.row = now; fill(tr); firstField(tr).focus(); }),
      button('Put mine over it', () => { tr.row = now; tr.edit = null; tr.className = 'changed'; save(tr); firstField(tr).focus(); }));
  }
  tr.says.querySelector('button').focus();
}

const firstField = tr => Object.values(tr.fields)[0];

// remake turns a row that somebody deleted into a new one with the same cells.
function remake(tr) {
  const values = Object.fromEntries(Object.entries(tr.fields).map(([n, f]) => [n, f.value]));
  fill(tr);
  for (const n of Object.keys(values)) tr.fields[n].value = values[n];
  firstField(tr).focus();
  save(tr);
}

// follow shows on how many entries a revision is in force until it is on all.
async function follow(tr, revision, text) {
  const row = tr.row;
  for (let i = 0; i < forcePolls; i++) {
    await new Promise(done => setTimeout(done, forcePoll));
    const r = await call('GET', '/v1/force/' + revision).catch(() => null);
    if (!r || !r.ok || tr.row !== row || tr.className) return;
    tr.says.textContent = text + force(r.value);
    if (!r.value.lagging) return;
  }
}

// refresh takes over what others have changed, but for rows that are being edited:
// those are told of it when they are saved.
async function refresh() {
  if (!kind || document.hidden) return;
  const shown = kind;
  const list = await get('/v1/table/' + encodeURIComponent(shown));
  if (!list || kind !== shown) return;
  const inForce = new Map(list.rows.map(r => [r.key, r]));
  for (const tr of trs()) {
    if (!tr.row.version) continue;
    const now = inForce.get(tr.row.key);
    inForce.delete(tr.row.key);
    if (tr.className || now && now.version <= tr.row.version) continue;
    if (now) { tr.row = now; fill(tr); } else if (list.revision > tr.row.revision) tr.remove();
  }
  $('rows').lastElementChild.before(...[...inForce.values()].map(line));
  counted(list);
}

$('key').value = sessionStorage.getItem('key') || '';
$('key').addEventListener('change', () => { sessionStorage.setItem('key', $('key').value); start(); });
setInterval(refresh, refreshEvery);
start();
