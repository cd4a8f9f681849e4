'use strict';

// Times in milliseconds.
const refreshInterval = 5000;
const propagationPollInterval = 500;
const maxPropagationPolls = 20;

const $ = id => document.getElementById(id);
let schema = {}, kind = '';

async function call(method, path, headers, body) {
  const r = await fetch(path, { method, headers: { Authorization: 'Bearer ' + $('key').value, ...headers }, body });
  const text = await r.text();
  let value;
  try { value = JSON.parse(text); } catch { value = { title: text }; }
  return { ok: r.ok, status: r.status, value };
}

// getJSON returns the JSON value at a path, or shows the error in the status line and returns null.
async function getJSON(path) {
  try {
    const r = await call('GET', path);
    if (r.ok) return r.value;
    setStatus(problemText(r.value));
  } catch {
    setStatus('The server does not answer.');
  }
  return null;
}

const setStatus = text => { $('state').textContent = text; };
const rowPath = (kind, key) => '/v1/table/' + encodeURIComponent(kind) + '/' + key.split('/').map(encodeURIComponent).join('/');
const problemText = v => [v.title, v.column && 'Column ' + v.column + ':', v.detail].filter(Boolean).join(' ');
const author = row => row.changed_by ? ' by ' + row.changed_by + ' at ' + row.changed_at : '';
const propagationText = f => 'In force on ' + f.in_force + ' of ' + f.entries + (f.lagging ? '; waiting for ' + f.lagging.join(', ') : '') + '.';

async function start() {
  if (!$('key').value) { setStatus('Give your operator key.'); return; }
  const s = await getJSON('/v1/schema');
  if (!s) return;
  schema = s;
  $('kinds').replaceChildren(...Object.keys(schema).sort().map(k => button(k, () => selectKind(k))));
  await showKind(kind || Object.keys(schema).sort()[0]);
}

// selectKind shows the rows of another kind. It asks before it discards unsaved changes.
function selectKind(k) {
  if (rowElements().some(tr => tr.className) && !confirm('Discard unsaved changes?')) return;
  showKind(k);
}

async function showKind(k) {
  const list = await getJSON('/v1/table/' + encodeURIComponent(k));
  if (!list) return;
  kind = k;
  for (const b of $('kinds').children) b.setAttribute('aria-current', b.textContent === k);
  $('head').replaceChildren(createHead());
  $('rows').replaceChildren(...list.rows.map(createRow), createRow(emptyRow()));
  showCount(list);
}

const showCount = list => setStatus(list.rows.length + ' rows at revision ' + list.revision);
const emptyRow = () => ({ kind, key: '', columns: {}, version: 0 });
const rowElements = () => [...$('rows').children];

function createHead() {
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

function createRow(row) {
  const tr = document.createElement('tr');
  tr.row = row;
  renderRow(tr);
  return tr;
}

// renderRow renders the saved cells of a row and discards typed ones. The field that
// had the focus keeps it, for editing by keyboard.
function renderRow(tr) {
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
  const actions = document.createElement('td');
  actions.className = 'actions';
  actions.append(button('Save', () => save(tr), 'Save ' + row.key));
  if (row.version) actions.append(button('Delete', () => remove(tr), 'Delete ' + row.key));
  tr.message = document.createElement('td');
  tr.message.className = 'message';
  tr.message.setAttribute('role', 'status');
  if (row.version) tr.message.textContent = 'Version ' + row.version + author(row) + '.';
  tr.append(actions, tr.message);
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
  i.addEventListener('keydown', e => handleKey(e, tr, name));
  tr.fields[name] = i;
  return i;
}

function button(text, onClick, label) {
  const b = document.createElement('button');
  b.type = 'button';
  b.textContent = text;
  if (label) b.setAttribute('aria-label', label);
  b.addEventListener('click', onClick);
  return b;
}

function handleKey(e, tr, name) {
  if (e.key === 'Enter') { e.preventDefault(); save(tr); }
  if (e.key === 'Escape') { e.preventDefault(); renderRow(tr); }
  if (!e.altKey || (e.key !== 'ArrowDown' && e.key !== 'ArrowUp')) return;
  e.preventDefault();
  const next = e.key === 'ArrowDown' ? tr.nextElementSibling : tr.previousElementSibling;
  if (next) (next.fields[name] || Object.values(next.fields)[0]).focus();
}

// editID returns the idempotency key of a row's edit. It stays the same until a
// cell changes, so that a retry after a lost response doesn't make the edit twice.
function editID(tr) {
  if (!tr.edit) tr.edit = Array.from(crypto.getRandomValues(new Uint32Array(4)), n => n.toString(36)).join('-');
  return tr.edit;
}

const precondition = row => row.version ? { 'If-Match': '"' + row.version + '"' } : { 'If-None-Match': '*' };

async function send(tr, method, key, body) {
  const id = editID(tr);
  tr.message.textContent = 'Sending…';
  try {
    return { id, ...await call(method, rowPath(kind, key), { ...precondition(tr.row), 'Idempotency-Key': id }, body) };
  } catch {
    tr.className = 'bad';
    tr.message.textContent = 'The server did not answer; the edit may have been made. It is safe to send it again.';
    return null;
  }
}

async function save(tr) {
  const row = tr.row, columns = {};
  for (const c of schema[kind]) if (tr.fields[c.name].value !== '') columns[c.name] = tr.fields[c.name].value;
  const key = row.version ? row.key : tr.fields.$key.value.trim();
  if (!key) { tr.message.textContent = 'Give the new row a key.'; tr.fields.$key.focus(); return; }
  const r = await send(tr, 'PUT', key, JSON.stringify({ columns }));
  if (r && r.ok) showAccepted(tr, r); else if (r) showRefusal(tr, r);
}

async function remove(tr) {
  if (!confirm('Delete ' + kind + ' ' + tr.row.key + '?')) return;
  const r = await send(tr, 'DELETE', tr.row.key);
  if (!r) return;
  if (!r.ok) { showRefusal(tr, r); return; }
  const next = tr.nextElementSibling;
  tr.remove();
  if (next) Object.values(next.fields)[0].focus();
  setStatus('Deleted. ' + propagationText(r.value.force));
}

function showAccepted(tr, r) {
  const created = !tr.row.version;
  tr.row = r.value.rows[0];
  // Cells typed while the request was in flight stay as unsaved changes.
  if (tr.edit === r.id) renderRow(tr);
  if (created) tr.after(createRow(emptyRow()));
  const text = 'Version ' + tr.row.version + author(tr.row) + '.\n';
  tr.message.textContent = text + propagationText(r.value.force);
  if (r.value.force.lagging) pollPropagation(tr, r.value.force.revision, text);
}

function showRefusal(tr, r) {
  tr.className = 'bad';
  if (r.status === 412 && r.value.in_force) { showConflict(tr, r.value.in_force[0]); return; }
  tr.message.textContent = problemText(r.value);
  const wrong = tr.fields[r.value.column];
  if (!wrong) return;
  wrong.setAttribute('aria-invalid', 'true');
  wrong.focus();
}

// showConflict shows the current row next to the typed cells, and lets the operator
// choose between them.
function showConflict(tr, current) {
  if (current.deleted) {
    tr.message.textContent = 'Deleted' + author(current) + '.\n';
    tr.message.append(button('Create it again', () => { tr.row = { ...tr.row, version: 0 }; tr.edit = null; recreate(tr); }));
  } else {
    const cells = Object.entries(current.columns).map(([n, v]) => n + '=' + v).join(' ') || 'defaults only';
    tr.message.textContent = 'Changed' + author(current) + ' to version ' + current.version + ': ' + cells + '\n';
    tr.message.append(button('Use theirs', () => { tr.row = current; renderRow(tr); firstField(tr).focus(); }),
      button('Overwrite with mine', () => { tr.row = current; tr.edit = null; tr.className = 'changed'; save(tr); firstField(tr).focus(); }));
  }
  tr.message.querySelector('button').focus();
}

const firstField = tr => Object.values(tr.fields)[0];

// recreate creates a deleted row again with the typed cells.
function recreate(tr) {
  const values = Object.fromEntries(Object.entries(tr.fields).map(([n, f]) => [n, f.value]));
  renderRow(tr);
  for (const n of Object.keys(values)) tr.fields[n].value = values[n];
  firstField(tr).focus();
  save(tr);
}

// pollPropagation polls and shows how many entries have applied a revision, until all have
// or maxPropagationPolls is reached.
async function pollPropagation(tr, revision, text) {
  const row = tr.row;
  for (let i = 0; i < maxPropagationPolls; i++) {
    await new Promise(done => setTimeout(done, propagationPollInterval));
    const r = await call('GET', '/v1/force/' + revision).catch(() => null);
    if (!r || !r.ok || tr.row !== row || tr.className) return;
    tr.message.textContent = text + propagationText(r.value);
    if (!r.value.lagging) return;
  }
}

// refresh shows changes made by others. It skips rows with unsaved changes: saving
// them reports the conflict.
async function refresh() {
  if (!kind || document.hidden) return;
  const shown = kind;
  const list = await getJSON('/v1/table/' + encodeURIComponent(shown));
  if (!list || kind !== shown) return;
  const inForce = new Map(list.rows.map(r => [r.key, r]));
  for (const tr of rowElements()) {
    if (!tr.row.version) continue;
    const current = inForce.get(tr.row.key);
    inForce.delete(tr.row.key);
    if (tr.className || current && current.version <= tr.row.version) continue;
    if (current) { tr.row = current; renderRow(tr); } else if (list.revision > tr.row.revision) tr.remove();
  }
  $('rows').lastElementChild.before(...[...inForce.values()].map(createRow));
  showCount(list);
}

const seconds = ms => (ms / 1000).toFixed(1) + ' s';
const restsText = list => (list || []).map(r => r.gateway + ' ' + seconds(r.left_ms)).join(', ');

function textRow(texts) {
  const tr = document.createElement('tr');
  for (const text of texts) {
    const td = document.createElement('td');
    td.textContent = text;
    tr.append(td);
  }
  return tr;
}

// showBackpressure shows the upstreams that ask gateways for less. It is hidden while none does, or
// while that isn't known.
async function showBackpressure() {
  let upstreams = [];
  try {
    const r = await call('GET', '/v1/backpressure');
    if (r.ok) upstreams = r.value.upstreams;
  } catch { /* The state line tells that the server doesn't answer. */ }
  $('asking').replaceChildren(...upstreams.map(u => {
    const heard = u.heard_by ? seconds(u.age_ms) + ' ago' : '';
    return textRow([u.upstream, u.limited ? u.per_s : '', u.leaving ? 'yes' : '', heard, u.heard_by || '', restsText(u.rests)]);
  }));
  $('backpressure').hidden = upstreams.length === 0;
}

// teamCells returns the cells of one team and priority, as the command demand prints them.
function teamCells(s, t) {
  const refused = t.causes ? t.refused + ' (' + t.causes[0].cause + ')' : t.refused;
  const share = s.limited ? s.fair_share.toFixed(1) : '-';
  return [s.service, t.priority, t.team || '(others)', t.arrived, t.admitted, refused, share, t.over_share ? 'yes' : '',
    s.gateways, seconds(s.age_ms), s.replica];
}

// showDemand shows what callers ask of contended services. It is hidden while there are none, or while that
// isn't known.
async function showDemand() {
  let list = { services: [] };
  try {
    const r = await call('GET', '/v1/demand');
    if (r.ok) list = r.value;
  } catch { /* The state line tells that the server doesn't answer. */ }
  $('unanswered').textContent = list.unanswered ? 'Services may be missing; no answer from ' + list.unanswered.join(', ') + '.' : '';
  $('teams').replaceChildren(...list.services.flatMap(s => s.teams.map(t => textRow(teamCells(s, t)))));
  $('demand').hidden = list.services.length === 0;
}

$('key').value = sessionStorage.getItem('key') || '';
$('key').addEventListener('change', () => { sessionStorage.setItem('key', $('key').value); start(); });
setInterval(refresh, refreshInterval);
setInterval(showBackpressure, refreshInterval);
setInterval(showDemand, refreshInterval);
start();
showBackpressure();
showDemand();
