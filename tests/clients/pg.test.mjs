// Tests with the npm driver `pg` as the client of a manager with one test engine. Both are started here, on
// ephemeral loopback ports.
import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, test } from 'node:test';
import pg from 'pg';

const programs = process.env.PADDLESTAND_PROGRAMS;
const folder = mkdtempSync(join(tmpdir(), 'paddlestand-node-'));
const children = [];
let port;

// Waits until a program has written its port to this file, which it does once it listens, and returns the port.
async function readPort(file) {
  for (let i = 0; i < 4000; ++i) {
    if (existsSync(file)) return Number(readFileSync(file, 'utf8').split(' ')[0]);
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  throw new Error(`${file} was not written`);
}

function start(program, ...args) {
  children.push(spawn(join(programs, program), args, { stdio: 'ignore' }));
}

// Starts a program with a library that makes a share of its system calls fail (tests/faults/call_faults.cpp).
function startWithFaults(faults, program, ...args) {
  const env = { ...process.env, LD_PRELOAD: join(programs, '../tests/libcall_faults.so'), PADDLESTAND_FAULTS: faults };
  children.push(spawn(join(programs, program), args, { stdio: 'ignore', env }));
}

before(async () => {
  start('paddlestand_test_engine', '--port-file', join(folder, 'engine'));
  const enginePort = await readPort(join(folder, 'engine'));
  writeFileSync(
    join(folder, 'manager.xml'),
    `<manager xmlns="urn:paddlestand:manager:1" name="m"><listen port="0"/>
     <kinds><kind name="std" cores="8" memory-mb="16384"/></kinds>
     <classes otherwise="q"><class name="q" aim="5s" deadline="15s" late-worth="1" repeat="safe"/></classes>
     <decisions/><engines><engine id="1" name="e" address="127.0.0.1" kind="std" port="${enginePort}"/></engines>
     </manager>`,
  );
  start('paddlestand', 'serve', '--config', join(folder, 'manager.xml'), '--port-file', join(folder, 'port'));
  port = await readPort(join(folder, 'port'));
});

after(() => {
  for (const child of children) child.kill();
  rmSync(folder, { recursive: true });
});

async function connect(options = {}) {
  const client = new pg.Client({ host: '127.0.0.1', port, user: 'ann', database: 'charts', ...options });
  await client.connect();
  return client;
}

test('executes queries and reads rows', async () => {
  const client = await connect({ statement_timeout: 10000, application_name: 'desk' });
  const { rows } = await client.query("select 1 /*sim_rows='3'*/");
  assert.equal(rows.length, 3);
  assert.equal((await client.query('show statement_timeout')).rows[0].statement_timeout, '10000');
  await client.end();
});

test('binds parameters and uses named prepared statements', async () => {
  const client = await connect();
  for (let i = 0; i < 3; ++i) {
    const unnamed = await client.query("select $1 /*sim_rows='2'*/", ['x']);
    assert.equal(unnamed.rows.length, 2);
    const named = await client.query({ name: 'report', text: "select $1 /*sim_rows='4'*/", values: ['y'] });
    assert.equal(named.rows.length, 4);
  }
  await client.end();
});

test('pipelined queries are answered in order', async () => {
  const client = await connect();
  const answers = await Promise.all(
    Array.from({ length: 40 }, (_, i) => client.query(`select $1 /*sim_rows='${1 + (i % 5)}'*/`, [i])),
  );
  assert.deepEqual(answers.map((a) => a.rows.length), Array.from({ length: 40 }, (_, i) => 1 + (i % 5)));
  await client.end();
});

test('an unsupported statement is an error and the session continues', async () => {
  const client = await connect();
  await assert.rejects(client.query('begin'), { code: '0A000' });
  await assert.rejects(client.query("select 1 /*class='nope'*/"), { code: '22023' });
  assert.equal((await client.query('select 1')).rows.length, 1);
  await client.end();
});

test('a rejection has retry advice in its hint', async () => {
  const client = await connect();
  // The query can't end before its deadline, so it is rejected immediately.
  await assert.rejects(client.query("select 1 /*cost_ms='60000',deadline_ms='500'*/"), (error) => {
    assert.equal(error.code, '53400');
    assert.match(error.hint, /^retry_after_ms=\d+; repeat=harmless$/);
    return true;
  });
  await client.end();
});

test('every statement is answered while system calls of the manager fail temporarily', async () => {
  const faults =
    'recv EINTR 0.01; recv ENOMEM 0.003; send EINTR 0.01; send ENOBUFS 0.01; accept ECONNABORTED 0.2;' +
    'accept EMFILE 0.1; connect EADDRNOTAVAIL 0.1; socket ENFILE 0.1; recv short 0.1; send short 0.1';
  const file = join(folder, 'port-with-faults');
  startWithFaults(faults, 'paddlestand', 'serve', '--config', join(folder, 'manager.xml'), '--port-file', file);
  const faultyPort = await readPort(file);
  const clients = await Promise.all(Array.from({ length: 16 }, () => connect({ port: faultyPort })));
  const unexpected = [];
  await Promise.all(
    clients.map(async (client, number) => {
      client.on('error', (error) => unexpected.push(error.message));
      for (let i = 0; i < 120; ++i) {
        try {
          const { rows } = await client.query(`select $1 /*sim_rows='${1 + ((number + i) % 5)}'*/`, [i]);
          if (rows.length !== 1 + ((number + i) % 5)) unexpected.push(`${rows.length} rows`);
        } catch (error) {
          // A rejection or a failure is an answer, the end of the connection is not.
          if (!error.code) unexpected.push(error.message);
        }
      }
    }),
  );
  assert.deepEqual(unexpected, []);
  await Promise.all(clients.map((client) => client.end()));
});
