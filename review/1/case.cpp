#include "../client.h"
#include "../deployment.h"

#include <algorithm>
#include <iostream>

using namespace Review;

namespace {

/// Sends a write whose data contains a line feed, and checks what the databases have run.
int run(Record& record)
{
    Deployment deployment({}, record);
    if (!deployment.isReady())
        return notRun;
    const std::string separator = hasTrouble() ? "\n" : " ";
    const std::string data = "first" + separator + "QUERY id2 WRITE b never-sent";
    Client client(deployment.front(0));
    if (!client.open(Deployment::ownWritesRoute, Deployment::key))
        return notRun;
    record.write("consumer sends id1 WRITE a " + printable(data));
    const Answer answer = client.query("id1", "WRITE a " + data);
    record.write("consumer got " + printable(answer.result) + " / " + printable(answer.ready));
    Client reader(deployment.front(1));
    if (!reader.open(Deployment::primaryRoute, Deployment::key))
        return notRun;
    bool isBroken = false;
    for (const std::string item : { "a", "b" }) {
        const Answer read = reader.query("read-" + item, "READ " + item);
        record.write("item " + item + " is " + printable(read.rows.empty() ? "" : read.rows.front()));
    }
    for (const RunStatement& statement : deployment.databases().runStatements()) {
        const bool isSent = statement.id.starts_with("read-")
            || (statement.id == "id1" && statement.text == "WRITE a " + data);
        if (!isSent) {
            record.write("never sent, but run by " + statement.database + ": " + statement.id + " "
                + printable(statement.text));
            isBroken = true;
        }
    }
    return isBroken ? ruleBroken : ruleHeld;
}

}

int main(int argc, char** argv)
{
    Record record(argc > 1 ? argv[1] : "record.txt");
    const int result = run(record);
    record.write("exit " + std::to_string(result));
    return result;
}
