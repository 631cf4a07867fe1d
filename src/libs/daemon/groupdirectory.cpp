#include "daemon/groupdirectory.h"

#include "logging/log.h"

#include <algorithm>

namespace Daemon {

GroupDirectory::GroupDirectory(Context context)
    : m_context(std::move(context))
{
}

GroupDirectory::RunnerPointer GroupDirectory::find(const std::string& service) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_runners.find(service);
    return found == m_runners.end() ? nullptr : found->second;
}

GroupAnswer GroupDirectory::run(const GroupRequest& request)
{
    const RunnerPointer runner = find(request.service);
    if (runner)
        return runner->run(request);
    const bool isInTransaction = !request.transactionId.empty();
    return errorAnswer(isInTransaction ? Model::ErrorCode::TransactionUnknown : Model::ErrorCode::NotOwner);
}

void GroupDirectory::update(const std::vector<std::string>& services, const Catalog::SnapshotPointer& catalog)
{
    // Declared outside the scope of the lock, because the destructor of a runner blocks.
    std::vector<RunnerPointer> ended;
    std::vector<RunnerPointer> kept;
    {
        const std::lock_guard lock(m_mutex);
        for (const std::string& service : services) {
            RunnerPointer& runner = m_runners[service];
            if (!runner) {
                runner = std::make_shared<GroupRunner>(
                    GroupContext { service, m_context.zone, m_context.transactionPrefix, m_context.workers,
                        m_context.metrics },
                    catalog);
                Logging::write(Logging::EventId::OwnershipGained, { { "service", service } });
            }
            if (!m_isOwned[service])
                runner->resume();
            m_isOwned[service] = true;
        }
        for (auto& [service, runner] : m_runners) {
            if (!std::ranges::count(services, service) && m_isOwned[service]) {
                m_isOwned[service] = false;
                runner->release();
                Logging::write(Logging::EventId::OwnershipLost, { { "service", service } });
            }
        }
        for (auto entry = m_runners.begin(); entry != m_runners.end();) {
            const bool isDone = !m_isOwned[entry->first] && entry->second->isIdle();
            (isDone ? ended : kept).push_back(entry->second);
            entry = isDone ? m_runners.erase(entry) : std::next(entry);
        }
    }
    for (const RunnerPointer& runner : kept)
        runner->configure(catalog);
}

void GroupDirectory::clear()
{
    // Declared before the lock, so that the runners are destroyed without the mutex.
    std::map<std::string, RunnerPointer> ended;
    const std::lock_guard lock(m_mutex);
    ended.swap(m_runners);
}

bool GroupDirectory::isIdle() const
{
    const std::lock_guard lock(m_mutex);
    return std::ranges::all_of(m_runners, [](const auto& entry) { return entry.second->isIdle(); });
}

std::vector<GroupDirectory::ServiceStatus> GroupDirectory::status() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<ServiceStatus> result;
    for (const auto& [service, runner] : m_runners)
        result.push_back({ service, runner->status() });
    return result;
}

}
